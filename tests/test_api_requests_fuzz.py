"""Fuzz tests of the HTTP API with random request heads and header values."""

import asyncio

import hypothesis.strategies as st
import msgspec
from hypothesis import given, settings

from cassiaweir.api import Problem
from tests.test_api_requests import REQUEST_HEADERS, post, serving
from tests.test_requests_helpers import BackendServer

READ_TIMEOUT_SECONDS = 0.05
HEADER_NAMES = (
    "Authorization",
    "Cassiaweir-Team",
    "Cassiaweir-Queue",
    "Idempotency-Key",
    "Cassiaweir-Idempotent",
    "Cassiaweir-Deadline-Ms",
    "Cassiaweir-Urgency",
    "Content-Type",
)
HEADER_VALUES = st.text(
    st.characters(min_codepoint=32, max_codepoint=126), max_size=200
)


async def send(gateway, data: bytes) -> bytes:
    """Send `data` and return the response up to the end of its problem body.

    Returns empty bytes where none arrives within `READ_TIMEOUT_SECONDS`.
    """
    host, port = gateway.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(READ_TIMEOUT_SECONDS):
            return await reader.readuntil(b"}")
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return b""
    finally:
        writer.close()


@given(lines=st.lists(st.binary(max_size=60), max_size=6), end=st.booleans())
@settings(derandomize=True, max_examples=40, deadline=None)
def test_malformed_heads_never_run_and_leave_the_gateway_working(lines, end):
    async def body() -> None:
        server = BackendServer()
        async with serving(server) as gateway:
            head = b"\r\n".join([b"POST /v1/requests/inventory HTTP/1.1", *lines])
            response = await send(gateway, head + b"\r\n\r\n" * end)
            if response:
                problem = response.partition(b"\r\n\r\n")[2]
                assert msgspec.json.decode(problem, type=Problem).verdict == "not_run"
            assert server.bodies == []
            assert (await post(gateway, REQUEST_HEADERS))[0] == 200

    asyncio.run(body())


@given(
    headers=st.dictionaries(st.sampled_from(HEADER_NAMES), HEADER_VALUES, max_size=6)
)
@settings(derandomize=True, max_examples=60, deadline=None)
def test_random_header_values_get_a_problem_or_a_response(headers):
    async def body() -> None:
        server = BackendServer()
        async with serving(server) as gateway:
            status, text, _ = await post(gateway, REQUEST_HEADERS | headers)
        if status == 200:
            assert len(server.bodies) == 1
            return
        assert 400 <= status < 500 or status in (503, 504)
        assert msgspec.json.decode(text, type=Problem).verdict == "not_run"
        assert server.bodies == []

    asyncio.run(body())
