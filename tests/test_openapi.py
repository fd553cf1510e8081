"""Tests that docs/openapi.json says what the routes do."""

import re
from pathlib import Path

import msgspec
import pytest

from cassiaweir.api._openapi import render
from cassiaweir.api._openapi_routes import OPERATIONS
from tests.admin_helpers import AdminCell
from tests.test_admin_bundles import JOB

DOCUMENT = Path(__file__).parent.parent / "docs" / "openapi.json"
METHODS = {"get", "post", "put", "delete"}
READS = [
    operation
    for operation in OPERATIONS
    if operation.method == "get" and operation.path.startswith("/v1/admin")
]


def test_the_document_is_up_to_date():
    assert DOCUMENT.read_bytes() == render()


async def test_the_document_names_exactly_the_routes_of_a_gateway():
    async with AdminCell().running() as cell:
        routed = {
            (method.lower(), "/" + re.sub(r"<(\w+):\w+>", r"{\1}", route.path))
            for route in cell.front.app.router.routes
            for method in route.methods
        }
    paths = msgspec.json.decode(DOCUMENT.read_bytes())["paths"]
    written = {(method, path) for path, entry in paths.items() for method in entry}
    assert {(m, p.rstrip("/")) for m, p in routed if m in METHODS} == written


def test_every_operation_has_a_name_of_its_own():
    paths = msgspec.json.decode(render())["paths"]
    names = [op["operationId"] for entry in paths.values() for op in entry.values()]
    assert len(set(names)) == len(names)


@pytest.mark.parametrize("operation", READS, ids=lambda operation: operation.path)
async def test_answers_have_the_documented_type(operation):
    async with AdminCell().running() as cell:
        await cell.roll_out()
        cell.secrets["team"] = (await cell.grant())["secret"]
        await cell.call("team", "POST", "", JOB, prefix="/v1/jobs")
        path = operation.path.removeprefix("/v1/admin")
        path = path.replace("{version}", "1").replace("{job}", JOB["job"])
        answer = await cell.call("anna", "GET", path)
    assert answer.status == operation.status
    msgspec.json.decode(answer.raw, type=operation.answer)
