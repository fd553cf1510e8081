"""Tests of the HTTP client for backend servers, mostly with faulty responses."""

import asyncio
import contextlib

import pytest
from aiohttp import web

from cassiaweir.clock import SystemClock
from cassiaweir.exceptions import RefusedError, UnavailableError
from cassiaweir.requests._backends import HttpBackendClient
from cassiaweir.verdict import Verdict
from tests.test_requests_helpers import (
    BackendServer,
    make_backend_client,
    make_request,
    raw_server,
)
from tests.waiting import until

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


def request_id(head: bytes) -> bytes:
    return head.lower().partition(b"cassiaweir-request-id: ")[2].partition(b"\r")[0]


async def verdict_of(client: HttpBackendClient, address: str, **changes) -> Verdict:
    with pytest.raises(UnavailableError) as caught:
        await client.call(address, make_request(**changes))
    return caught.value.verdict


@pytest.mark.parametrize(
    "answer",
    [
        RESPONSE_HEAD % 100 + b"only a part",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nan end that cannot be told",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"",
        b"HTTP/1.1 200 OK\r\nCassiaweir-Request-Id: other\r\n"
        b"Content-Length: 5\r\n\r\nwhole",
    ],
)
async def test_an_incomplete_or_foreign_response_may_have_run(answer):
    client = make_backend_client()
    async with raw_server(lambda head: answer) as address:
        assert await verdict_of(client, address) is Verdict.MAY_HAVE_RUN
        await client.stop()


async def test_a_request_without_a_connection_did_not_run():
    async with raw_server(lambda head: b"") as address:
        pass
    client = make_backend_client()
    assert await verdict_of(client, address) is Verdict.NOT_RUN
    await client.stop()


async def test_a_refusal_with_the_not_run_header_did_not_run():
    async def refuse(request: web.Request) -> web.Response:
        return web.Response(status=503, headers={"Cassiaweir-Not-Run": "true"})

    client = make_backend_client()
    async with BackendServer(refuse).running() as address:
        with pytest.raises(RefusedError) as caught:
            await client.call(address, make_request())
        await client.stop()
    assert caught.value.verdict is Verdict.NOT_RUN


@pytest.mark.parametrize(
    ("retry_after", "reason"),
    [
        ("60", "backend_leaving"),
        ("1", "backend_refused"),
        ("0", "backend_refused"),
        ("-60", "backend_refused"),
        ("Fri, 04 Dec 2026 00:00:00 GMT", "backend_refused"),
    ],
)
async def test_a_refusal_with_a_long_retry_after_means_leaving(retry_after, reason):
    async def refuse(request: web.Request) -> web.Response:
        headers = {"Cassiaweir-Not-Run": "true", "Retry-After": retry_after}
        return web.Response(status=503, headers=headers)

    client = make_backend_client()
    async with BackendServer(refuse).running() as address:
        with pytest.raises(RefusedError) as caught:
            await client.call(address, make_request())
        await client.stop()
    assert (caught.value.reason, caught.value.verdict) == (reason, Verdict.NOT_RUN)


async def test_a_503_without_the_not_run_header_is_a_response():
    async def fail(request: web.Request) -> web.Response:
        return web.Response(status=503, body=b"broken")

    client = make_backend_client()
    async with BackendServer(fail).running() as address:
        answer = await client.call(address, make_request())
        await client.stop()
    assert (answer.status, answer.body) == (503, b"broken")


async def test_complete_responses_reuse_one_connection():
    client = make_backend_client()
    server = BackendServer()
    async with server.running() as address:
        for number in range(3):
            req = make_request(request_id=f"r{number}", body=b"%d" % number)
            answer = await client.call(address, req)
            assert answer.body == b"whole:%d" % number
        await client.stop()
    assert len(set(server.peers)) == 1


@pytest.mark.parametrize("echoes", [True, False])
async def test_a_duplicate_response_is_never_returned_to_the_next_request(echoes):
    connections: list[int] = []

    def twice(head: bytes) -> bytes:
        own = request_id(head)
        echo = b"Cassiaweir-Request-Id: " + own + b"\r\n" if echoes else b""
        connections.append(1)
        return (
            b"HTTP/1.1 200 OK\r\n" + echo + b"Content-Length: 2\r\n\r\n" + own[:2]
        ) * 2

    client = make_backend_client()
    async with raw_server(twice, close=False) as address:
        first = await client.call(address, make_request(request_id="r1"))
        second = await client.call(address, make_request(request_id="r2"))
        await client.stop()
    assert (first.body, second.body) == (b"r1", b"r2")


async def test_a_late_response_is_never_returned_to_the_next_request():
    respond = asyncio.Event()
    slow_request_received = asyncio.Event()

    async def answer(request: web.Request) -> web.Response:
        if await request.read() == b"slow":
            slow_request_received.set()
            await respond.wait()
            return web.Response(body=b"late")
        return web.Response(body=b"prompt")

    client = make_backend_client()
    server = BackendServer(answer)
    async with server.running() as address:
        call_task = asyncio.create_task(
            client.call(address, make_request(body=b"slow"))
        )
        await slow_request_received.wait()
        call_task.cancel()
        await asyncio.gather(call_task, return_exceptions=True)
        respond.set()
        prompt = await client.call(address, make_request(request_id="r2"))
        await client.stop()
    assert prompt.body == b"prompt"
    assert len(set(server.peers)) == 2


async def test_a_deadline_before_the_response_may_have_run():
    forever = asyncio.Event()

    async def never(request: web.Request) -> web.Response:
        await forever.wait()
        return web.Response()

    client = make_backend_client()
    async with BackendServer(never).running() as address:
        deadline = SystemClock().monotonic() + 0.2
        assert await verdict_of(client, address, deadline=deadline) is (
            Verdict.MAY_HAVE_RUN
        )
        await client.stop()


async def test_an_idle_connection_that_received_bytes_is_closed():
    bytes_received = asyncio.Event()
    writers: list[asyncio.StreamWriter] = []

    closed: list[asyncio.StreamWriter] = []

    async def handle(reader, writer) -> None:
        writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b"gauge"):
                writer.write(RESPONSE_HEAD % 5 + b"whole")
        writer.close()
        await writer.wait_closed()
        closed.append(writer)

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
    client = make_backend_client()
    await client.call(address, make_request())
    connector = client._sessions[address].connector
    ((proto, _),) = next(iter(connector._conns.values()))
    original_data_received = proto.data_received

    def record_data(data: bytes) -> None:
        original_data_received(data)
        bytes_received.set()

    proto.data_received = record_data
    writers[0].write(RESPONSE_HEAD % 5 + b"stale")
    await bytes_received.wait()
    answer = await client.call(address, make_request(request_id="r2"))
    await client.stop()
    server.close()
    assert answer.body == b"whole"
    assert len(writers) == 2
    # A writer that is finalized after the loop was closed raises there, in any test.
    await until(lambda: len(closed) == len(writers))


async def test_a_gateway_uses_at_most_its_share_of_the_connections():
    proceed = asyncio.Event()

    async def wait(request: web.Request) -> web.Response:
        await proceed.wait()
        return web.Response(body=b"whole")

    gateways = [7]
    client = HttpBackendClient(gateways=lambda: gateways[0], clock=SystemClock())
    server = BackendServer(wait)
    async with server.running() as address:
        proceed.set()
        await client.call(address, make_request())
        gateways[0] = 30
        calls = [
            asyncio.create_task(client.call(address, make_request())) for _ in range(6)
        ]
        await asyncio.gather(*calls)
        await client.stop()
    assert len(set(server.peers)) <= 2


async def test_a_backend_server_gets_the_name_of_the_entry_vm():
    callers = []

    async def answer(request: web.Request) -> web.Response:
        callers.append(request.headers.get("Cassiaweir-Caller"))
        return web.Response(body=b"whole")

    client = HttpBackendClient(gateways=lambda: 7, clock=SystemClock(), vm="augusta-1")
    async with BackendServer(answer).running() as address:
        await client.call(address, make_request())
        await client.stop()
    assert callers == ["augusta-1"]
