"""Tests of the HTTP API for callers' requests, over loopback connections."""

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

# `KEY_HEADERS` has the key of the team customs; `REQUEST_HEADERS` is a valid request.
KEY_HEADERS = {"Authorization": "Bearer key-customs"}
REQUEST_HEADERS = KEY_HEADERS | {"Idempotency-Key": "k1"}


@asynccontextmanager
async def serving(server: BackendServer, *overrides: str, clock=None):
    """Run a backend server and a gateway that sends requests to it."""
    async with server.running() as address:
        backends = make_backend_client()
        router = make_router(FakeSlots(address), backends, make_claims(MemoryTable()))
        async with running_gateway(router, *overrides, clock=clock) as gateway:
            yield gateway
        await router.stop()
        await backends.stop()


async def post(gateway, headers, body=b"gauge", path="/v1/requests/inventory"):
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"http://{gateway.address}{path}", data=body, headers=headers
        ) as response,
    ):
        return response.status, await response.read(), response.headers


async def get(gateway, path) -> int:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{gateway.address}{path}") as response,
    ):
        return response.status


async def send_raw(gateway, data: bytes, *, close_write: bool = False) -> bytes:
    host, port = gateway.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    if close_write:
        writer.write_eof()
    response = await reader.read()
    writer.close()
    return response


async def test_a_caller_gets_the_full_response_and_a_repeat_gets_it_again():
    server = BackendServer()
    body = b"x" * 300_000
    async with serving(server) as gateway:
        first = await post(gateway, REQUEST_HEADERS, body)
        second = await post(gateway, REQUEST_HEADERS, body)
    assert first[:2] == (200, b"whole:" + body)
    assert second[:2] == first[:2]
    assert second[2]["Cassiaweir-Repeated"] == "true"
    assert len(server.bodies) == 1


@pytest.mark.parametrize(
    ("headers", "status", "reason"),
    [
        ({"Idempotency-Key": "k"}, 401, "key_missing"),
        ({"Authorization": "Bearer nonsense"}, 401, "key_unknown"),
        (REQUEST_HEADERS | {"Cassiaweir-Team": "deck"}, 403, "other_team"),
        (REQUEST_HEADERS | {"Cassiaweir-Queue": "nowhere"}, 404, "queue_unknown"),
        (KEY_HEADERS, 400, "invalid_input"),
        (REQUEST_HEADERS | {"Cassiaweir-Idempotent": "maybe"}, 400, "invalid_input"),
        (REQUEST_HEADERS | {"Cassiaweir-Deadline-Ms": "-5"}, 400, "invalid_input"),
        (REQUEST_HEADERS | {"Cassiaweir-Urgency": "now"}, 400, "invalid_input"),
        (KEY_HEADERS | {"Idempotency-Key": "a/../b"}, 400, "invalid_input"),
    ],
)
async def test_bad_requests_are_refused_and_never_reach_a_backend_server(
    headers, status, reason
):
    server = BackendServer()
    async with serving(server) as gateway:
        response = await post(gateway, headers)
    assert response[0] == status
    assert response[2]["Content-Type"] == "application/problem+json"
    assert f'"reason":"{reason}"'.encode() in response[1]
    assert b'"verdict":"not_run"' in response[1]
    assert server.bodies == []


async def test_a_backend_server_gets_forwarded_headers_but_never_the_key():
    seen = {}

    async def record_headers(request: web.Request) -> web.Response:
        seen.update({name.lower(): value for name, value in request.headers.items()})
        return web.Response(body=b"whole")

    async with serving(BackendServer(record_headers)) as gateway:
        await post(gateway, REQUEST_HEADERS | {"X-Tank": "7", "Cookie": "a=b"})
    assert seen["x-tank"] == "7"
    assert seen["cassiaweir-team"] == "customs"
    assert seen["cassiaweir-idempotency-key"] == "customs/k1"
    assert not {"authorization", "cookie"} & seen.keys()


async def test_an_open_queue_needs_no_key():
    async with serving(BackendServer()) as gateway:
        headers = {"Cassiaweir-Queue": "spot", "Cassiaweir-Idempotent": "true"}
        assert (await post(gateway, headers))[0] == 200


async def test_an_idempotency_key_with_another_body_is_refused():
    server = BackendServer()
    async with serving(server) as gateway:
        await post(gateway, REQUEST_HEADERS, b"one")
        status, body, _ = await post(gateway, REQUEST_HEADERS, b"two")
    assert status == 422
    assert b"key_reused" in body
    assert server.bodies == [b"one"]


async def test_an_oversize_body_is_refused():
    server = BackendServer()
    async with serving(server, "gateway.max_body_bytes=1000") as gateway:
        response = await send_raw(
            gateway,
            b"POST /v1/requests/inventory HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: 2000\r\n\r\n" + b"x" * 2000,
        )
    assert response.startswith(b"HTTP/1.1 413")
    assert b"body_too_large" in response
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
    async with serving(BackendServer()) as gateway:
        response = await send_raw(gateway, head)
    assert response.startswith(b"HTTP/1.1 400")
    assert b"application/problem+json" in response


async def test_a_truncated_body_never_reaches_a_backend_server():
    server = BackendServer()
    async with serving(server) as gateway:
        await send_raw(
            gateway,
            b"POST /v1/requests/inventory HTTP/1.1\r\nHost: a\r\n"
            b"Authorization: Bearer key-customs\r\nIdempotency-Key: k1\r\n"
            b"Content-Length: 100\r\n\r\nonly a part",
            close_write=True,
        )
        assert (await post(gateway, REQUEST_HEADERS))[0] == 200
    assert server.bodies == [b"gauge"]


async def test_a_caller_that_sends_too_slowly_is_refused():
    async with serving(BackendServer(), "gateway.request_timeout=300ms") as gateway:
        response = await send_raw(
            gateway, b"POST /v1/requests/inventory HTTP/1.1\r\nHost: a\r\nContent-"
        )
    assert response.startswith(b"HTTP/1.1 408")
    assert b'"verdict":"not_run"' in response


async def test_oversize_headers_are_refused():
    async with serving(BackendServer()) as gateway:
        response = await send_raw(
            gateway,
            b"POST /v1/requests/inventory HTTP/1.1\r\nX: "
            + b"x" * 20_000
            + b"\r\n\r\n",
        )
    assert b'"verdict":"not_run"' in response


class BlockingClock(SystemClock):
    """A clock whose sleeps last until the test sets `wake`."""

    def __init__(self) -> None:
        self.wake = asyncio.Event()

    async def sleep(self, duration) -> None:
        await self.wake.wait()


async def test_a_graceful_stop_accepts_during_the_notice_and_cuts_no_request():
    handler_entered = asyncio.Event()
    may_respond = asyncio.Event()

    async def slow(request: web.Request) -> web.Response:
        handler_entered.set()
        await may_respond.wait()
        return web.Response(body=b"whole")

    clock = BlockingClock()
    async with serving(BackendServer(slow), clock=clock) as gateway:
        request_task = asyncio.create_task(post(gateway, REQUEST_HEADERS))
        await handler_entered.wait()
        stop = asyncio.create_task(gateway.stop())
        await asyncio.sleep(0)
        assert (await get(gateway, "/ready")) == 503
        assert (await get(gateway, "/metrics")) == 200
        clock.wake.set()
        for _ in range(5):
            await asyncio.sleep(0)
        assert not gateway.accepting
        assert not request_task.done()
        with pytest.raises(aiohttp.ClientConnectorError):
            await get(gateway, "/ready")
        may_respond.set()
        assert (await request_task)[:2] == (200, b"whole")
        await stop


async def test_a_request_that_arrives_just_after_listening_ends_is_answered():
    async def whole(request: web.Request) -> web.Response:
        return web.Response(body=b"whole")

    async with serving(BackendServer(whole)) as gateway:
        host, _, port = gateway.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        await get(gateway, "/ready")
        stop = asyncio.create_task(gateway.stop())
        while gateway.accepting:  # noqa: ASYNC110
            await asyncio.sleep(0)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: g\r\n\r\n")
        line = await reader.readline()
        writer.close()
        await stop
    assert line.startswith(b"HTTP/1.1 200")
