"""Tests that docs/openapi.json matches the routes of a gateway.

`python -m cassiaweir.api._openapi docs/openapi.json` writes the document.
"""

import re
from pathlib import Path

import msgspec
import pytest

from cassiaweir.api._openapi import render
from cassiaweir.api._openapi_routes import OPERATIONS
from tests.admin_helpers import AdminCell
from tests.test_admin_bundles import JOB

DOCUMENT = Path(__file__).parent.parent / "docs" / "openapi.json"
DOCUMENTED_METHODS = {"get", "post", "put", "delete"}
READ_OPERATIONS = [
    operation
    for operation in OPERATIONS
    if operation.method == "get" and operation.path.startswith("/v1/admin")
]


def test_the_document_is_up_to_date():
    assert DOCUMENT.read_bytes() == render()


async def test_the_document_lists_exactly_the_routes_of_a_gateway():
    async with AdminCell().running() as cell:
        routed = {
            (method.lower(), "/" + re.sub(r"<(\w+):\w+>", r"{\1}", route.path))
            for route in cell.front.app.router.routes
            for method in route.methods
        }
    paths = msgspec.json.decode(DOCUMENT.read_bytes())["paths"]
    written = {(method, path) for path, entry in paths.items() for method in entry}
    assert {(m, p.rstrip("/")) for m, p in routed if m in DOCUMENTED_METHODS} == written


def test_operation_ids_are_unique():
    paths = msgspec.json.decode(render())["paths"]
    names = [op["operationId"] for entry in paths.values() for op in entry.values()]
    assert len(set(names)) == len(names)


@pytest.mark.parametrize(
    "operation", READ_OPERATIONS, ids=lambda operation: operation.path
)
async def test_responses_have_the_documented_type(operation):
    async with AdminCell().running() as cell:
        await cell.roll_out()
        cell.secrets["team"] = (await cell.grant())["secret"]
        await cell.call("team", "POST", "", JOB, prefix="/v1/jobs")
        path = operation.path.removeprefix("/v1/admin")
        path = path.replace("{version}", "1").replace("{job}", JOB["job"])
        response = await cell.call("anna", "GET", path)
    assert response.status == operation.status
    msgspec.json.decode(response.raw, type=operation.response)
