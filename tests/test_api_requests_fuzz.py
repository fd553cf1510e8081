"""Fuzzes callers' HTTP with heads and header values that make no sense."""

import asyncio

import hypothesis.strategies as st
import msgspec
from hypothesis import given, settings

from cassiaweir.api import Problem
from tests.test_api_requests import ONCE, post, serving
from tests.test_requests_helpers import BackendServer

QUIET_SECONDS = 0.05
NAMES = (
    "Authorization",
    "Cassiaweir-Team",
    "Cassiaweir-Queue",
    "Idempotency-Key",
    "Cassiaweir-Idempotent",
    "Cassiaweir-Deadline-Ms",
    "Cassiaweir-Urgency",
    "Content-Type",
)
VALUES = st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=200)


async def send(front, data: bytes) -> bytes:
    """Send `data`, end the connection, and return what came back."""
    host, port = front.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(QUIET_SECONDS):
            return await reader.readuntil(b"}")
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return b""
    finally:
        writer.close()


@given(lines=st.lists(st.binary(max_size=60), max_size=6), end=st.booleans())
@settings(derandomize=True, max_examples=40, deadline=None)
def test_heads_that_make_no_sense_never_run_and_never_harm(lines, end):
    async def body() -> None:
        server = BackendServer()
        async with serving(server) as front:
            head = b"\r\n".join([b"POST /v1/requests/inventory HTTP/1.1", *lines])
            answer = await send(front, head + b"\r\n\r\n" * end)
            if answer:
                problem = answer.partition(b"\r\n\r\n")[2]
                assert msgspec.json.decode(problem, type=Problem).verdict == "not_run"
            assert server.bodies == []
            assert (await post(front, ONCE))[0] == 200

    asyncio.run(body())


@given(headers=st.dictionaries(st.sampled_from(NAMES), VALUES, max_size=6))
@settings(derandomize=True, max_examples=60, deadline=None)
def test_header_values_that_make_no_sense_get_a_problem_or_an_answer(headers):
    async def body() -> None:
        server = BackendServer()
        async with serving(server) as front:
            status, text, _ = await post(front, ONCE | headers)
        if status == 200:
            assert len(server.bodies) == 1
            return
        assert 400 <= status < 500 or status in (503, 504)
        assert msgspec.json.decode(text, type=Problem).verdict == "not_run"
        assert server.bodies == []

    asyncio.run(body())
