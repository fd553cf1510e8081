"""Tests of callers' HTTP over real connections on loopback."""

import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web

from cassiaweir.clock import SystemClock
from standins.memory import MemoryTable
from tests.test_requests_helpers import (
    BackendServer,
    FakeSlots,
    make_backend_client,
    make_claims,
    make_router,
    running_gateway,
)

KEY_HEADERS = {"Authorization": "Bearer key-customs"}
ONCE = KEY_HEADERS | {"Idempotency-Key": "k1"}


@asynccontextmanager
async def serving(server: BackendServer, *overrides: str, clock=None):
    """Run a backend server, and a front before it."""
    async with server.running() as address:
        caller = make_backend_client()
        router = make_router(FakeSlots(address), caller, make_claims(MemoryTable()))
        async with running_gateway(router, *overrides, clock=clock) as front:
            yield front
        await router.stop()
        await caller.stop()


async def post(front, headers, body=b"gauge", path="/v1/requests/inventory"):
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://{front.address}{path}", data=body, headers=headers) as r,
    ):
        return r.status, await r.read(), r.headers


async def get(front, path) -> int:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{front.address}{path}") as response,
    ):
        return response.status


async def send_raw(front, data: bytes, *, cut: bool = False) -> bytes:
    host, port = front.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    if cut:
        writer.write_eof()
    answer = await reader.read()
    writer.close()
    return answer


async def test_a_caller_gets_the_whole_answer_and_a_repeat_gets_it_again():
    server = BackendServer()
    body = b"x" * 300_000
    async with serving(server) as front:
        first = await post(front, ONCE, body)
        second = await post(front, ONCE, body)
    assert first[:2] == (200, b"whole:" + body)
    assert second[:2] == first[:2]
    assert second[2]["Cassiaweir-Repeated"] == "true"
    assert len(server.bodies) == 1


@pytest.mark.parametrize(
    ("headers", "status", "reason"),
    [
        ({"Idempotency-Key": "k"}, 401, "key_missing"),
        ({"Authorization": "Bearer nonsense"}, 401, "key_unknown"),
        (ONCE | {"Cassiaweir-Team": "deck"}, 403, "other_team"),
        (ONCE | {"Cassiaweir-Queue": "nowhere"}, 404, "queue_unknown"),
        (KEY_HEADERS, 400, "invalid_input"),
        (ONCE | {"Cassiaweir-Idempotent": "maybe"}, 400, "invalid_input"),
        (ONCE | {"Cassiaweir-Deadline-Ms": "-5"}, 400, "invalid_input"),
        (ONCE | {"Cassiaweir-Urgency": "now"}, 400, "invalid_input"),
        (KEY_HEADERS | {"Idempotency-Key": "a/../b"}, 400, "invalid_input"),
    ],
)
async def test_bad_requests_are_refused_and_never_reach_a_backend_server(
    headers, status, reason
):
    server = BackendServer()
    async with serving(server) as front:
        answer = await post(front, headers)
    assert answer[0] == status
    assert answer[2]["Content-Type"] == "application/problem+json"
    assert f'"reason":"{reason}"'.encode() in answer[1]
    assert b'"verdict":"not_run"' in answer[1]
    assert server.bodies == []


async def test_a_backend_server_gets_the_callers_headers_but_never_the_key():
    seen = {}

    async def note(request: web.Request) -> web.Response:
        seen.update({name.lower(): value for name, value in request.headers.items()})
        return web.Response(body=b"whole")

    async with serving(BackendServer(note)) as front:
        await post(front, ONCE | {"X-Tank": "7", "Cookie": "a=b"})
    assert seen["x-tank"] == "7"
    assert seen["cassiaweir-team"] == "customs"
    assert seen["cassiaweir-idempotency-key"] == "customs/k1"
    assert not {"authorization", "cookie"} & seen.keys()


async def test_an_open_queue_needs_no_key():
    async with serving(BackendServer()) as front:
        headers = {"Cassiaweir-Queue": "spot", "Cassiaweir-Idempotent": "true"}
        assert (await post(front, headers))[0] == 200


async def test_a_key_with_another_body_is_refused():
    server = BackendServer()
    async with serving(server) as front:
        await post(front, ONCE, b"one")
        status, body, _ = await post(front, ONCE, b"two")
    assert status == 422
    assert b"key_reused" in body
    assert server.bodies == [b"one"]


async def test_an_oversize_body_is_refused():
    server = BackendServer()
    async with serving(server, "gateway.max_body_bytes=1000") as front:
        answer = await send_raw(
            front,
            b"POST /v1/requests/inventory HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: 2000\r\n\r\n" + b"x" * 2000,
        )
    assert answer.startswith(b"HTTP/1.1 413")
    assert b"body_too_large" in answer
    assert server.bodies == []


@pytest.mark.parametrize(
    "head",
    [
        b"POST /v1/requests/inventory HTTP/1.1\r\nHost a\r\n\r\n",
        b"POST /v1/requests/inventory HTTP/1.1\r\nContent-Length: many\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
async def test_malformed_headers_are_refused(head):
    async with serving(BackendServer()) as front:
        answer = await send_raw(front, head)
    assert answer.startswith(b"HTTP/1.1 400")
    assert b"application/problem+json" in answer


async def test_a_truncated_body_never_reaches_a_backend_server():
    server = BackendServer()
    async with serving(server) as front:
        await send_raw(
            front,
            b"POST /v1/requests/inventory HTTP/1.1\r\nHost: a\r\n"
            b"Authorization: Bearer key-customs\r\nIdempotency-Key: k1\r\n"
            b"Content-Length: 100\r\n\r\nonly a part",
            cut=True,
        )
        assert (await post(front, ONCE))[0] == 200
    assert server.bodies == [b"gauge"]


async def test_a_caller_that_sends_too_slowly_is_refused():
    async with serving(BackendServer(), "gateway.request_timeout=300ms") as front:
        answer = await send_raw(
            front, b"POST /v1/requests/inventory HTTP/1.1\r\nHost: a\r\nContent-"
        )
    assert answer.startswith(b"HTTP/1.1 408")
    assert b'"verdict":"not_run"' in answer


async def test_too_large_headers_are_refused():
    async with serving(BackendServer()) as front:
        answer = await send_raw(
            front,
            b"POST /v1/requests/inventory HTTP/1.1\r\nX: "
            + b"x" * 20_000
            + b"\r\n\r\n",
        )
    assert b'"verdict":"not_run"' in answer


class GateClock(SystemClock):
    """A clock whose sleeps end when the test opens the gate."""

    def __init__(self) -> None:
        self.gate = asyncio.Event()

    async def sleep(self, duration) -> None:
        await self.gate.wait()


async def test_a_graceful_stop_goes_on_accepting_and_cuts_nothing():
    reached = asyncio.Event()
    go_on = asyncio.Event()

    async def slow(request: web.Request) -> web.Response:
        reached.set()
        await go_on.wait()
        return web.Response(body=b"whole")

    clock = GateClock()
    async with serving(BackendServer(slow), clock=clock) as front:
        asked = asyncio.create_task(post(front, ONCE))
        await reached.wait()
        stop = asyncio.create_task(front.stop())
        await asyncio.sleep(0)
        assert (await get(front, "/ready")) == 503
        assert (await get(front, "/metrics")) == 200
        clock.gate.set()
        for _ in range(5):
            await asyncio.sleep(0)
        assert not front.accepting
        assert not asked.done()
        with pytest.raises(aiohttp.ClientConnectorError):
            await get(front, "/ready")
        go_on.set()
        assert (await asked)[:2] == (200, b"whole")
        await stop


async def test_a_request_on_its_way_when_listening_ends_is_answered():
    async def whole(request: web.Request) -> web.Response:
        return web.Response(body=b"whole")

    async with serving(BackendServer(whole)) as front:
        host, _, port = front.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        await get(front, "/ready")
        stop = asyncio.create_task(front.stop())
        while front.accepting:  # noqa: ASYNC110
            await asyncio.sleep(0)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: g\r\n\r\n")
        line = await reader.readline()
        writer.close()
        await stop
    assert line.startswith(b"HTTP/1.1 200")
