"""Tests that a service accepts requests only from its own queues."""

import pytest

from cassiaweir.configuration import parse_bundle
from cassiaweir.exceptions import InvalidInputError
from tests.test_api_requests import KEY_HEADERS, post, serving
from tests.test_requests_helpers import BackendServer

IDEMPOTENT = {"Cassiaweir-Idempotent": "true"}
OPEN_QUEUE = IDEMPOTENT | {"Cassiaweir-Queue": "spot"}
TEAMS = """
[[team]]
name = "customs"
share = 1
limit = { cpu_millis = 1, memory_mb = 1 }
"""
QUEUES = """
[[queue]]
name = "inventory"

[[queue]]
name = "spot"
open = true
team = "customs"
"""
SERVICE = """
[[service]]
name = "inventory"
queue = {}
"""


def bundle(queues):
    """Return a bundle whose service has `queues`, a TOML value, as its queues."""
    text = SERVICE.replace("{}", queues)
    return parse_bundle({"a.toml": TEAMS, "b.toml": QUEUES, "c.toml": text})


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("inventory", OPEN_QUEUE, 200),
        ("inventory", IDEMPOTENT, 401),
        ("inventory", IDEMPOTENT | KEY_HEADERS, 200),
        ("payouts", OPEN_QUEUE, 401),
        ("payouts", OPEN_QUEUE | KEY_HEADERS, 404),
        ("nothing", OPEN_QUEUE, 401),
        ("nothing", IDEMPOTENT | KEY_HEADERS, 404),
    ],
)
async def test_an_open_queue_needs_no_key_only_for_services_that_name_it(
    path, headers, status
):
    server = BackendServer()
    async with serving(server) as front:
        answer = await post(front, headers, path=f"/v1/requests/{path}")
    assert answer[0] == status, answer[1]


def test_a_service_may_name_one_queue_or_a_list():
    assert bundle('"inventory"').service[0].queues() == ("inventory",)
    several = bundle('["spot", "inventory"]').service[0]
    assert several.queues() == ("spot", "inventory")


def test_a_single_queue_is_encoded_as_a_string_so_that_digests_stay_the_same():
    assert b'"queue":"inventory"' in bundle('"inventory"').encode()


@pytest.mark.parametrize(
    "queues", ["[]", '["nowhere"]', '["spot", "spot"]', "7", '"nowhere"']
)
def test_a_service_without_a_known_queue_is_refused(queues):
    with pytest.raises(InvalidInputError, match="service"):
        bundle(queues)
