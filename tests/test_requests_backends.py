"""Tests of calls to backend servers whose answers go wrong."""

import asyncio

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

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


def request_id(head: bytes) -> bytes:
    return head.lower().partition(b"cassiaweir-request-id: ")[2].partition(b"\r")[0]


async def verdict_of(caller: HttpBackendClient, address: str, **changes) -> Verdict:
    with pytest.raises(UnavailableError) as caught:
        await caller.call(address, make_request(**changes))
    return caught.value.verdict


@pytest.mark.parametrize(
    "answer",
    [
        HEAD % 100 + b"only a part",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nan end that cannot be told",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"",
        b"HTTP/1.1 200 OK\r\nCassiaweir-Request-Id: other\r\n"
        b"Content-Length: 5\r\n\r\nwhole",
    ],
)
async def test_an_answer_that_is_not_whole_and_ours_may_have_run(answer):
    caller = make_backend_client()
    async with raw_server(lambda head: answer) as address:
        assert await verdict_of(caller, address) is Verdict.MAY_HAVE_RUN
        await caller.stop()


async def test_what_no_connection_took_did_not_run():
    async with raw_server(lambda head: b"") as address:
        pass
    caller = make_backend_client()
    assert await verdict_of(caller, address) is Verdict.NOT_RUN
    await caller.stop()


async def test_a_backend_server_may_say_that_it_did_not_run():
    async def refuse(request: web.Request) -> web.Response:
        return web.Response(status=503, headers={"Cassiaweir-Not-Run": "true"})

    caller = make_backend_client()
    async with BackendServer(refuse).running() as address:
        with pytest.raises(RefusedError) as caught:
            await caller.call(address, make_request())
        await caller.stop()
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
async def test_a_refusal_for_long_tells_that_a_server_is_leaving(retry_after, reason):
    async def refuse(request: web.Request) -> web.Response:
        headers = {"Cassiaweir-Not-Run": "true", "Retry-After": retry_after}
        return web.Response(status=503, headers=headers)

    caller = make_backend_client()
    async with BackendServer(refuse).running() as address:
        with pytest.raises(RefusedError) as caught:
            await caller.call(address, make_request())
        await caller.stop()
    assert (caught.value.reason, caught.value.verdict) == (reason, Verdict.NOT_RUN)


async def test_a_plain_503_is_an_answer():
    async def fail(request: web.Request) -> web.Response:
        return web.Response(status=503, body=b"broken")

    caller = make_backend_client()
    async with BackendServer(fail).running() as address:
        answer = await caller.call(address, make_request())
        await caller.stop()
    assert (answer.status, answer.body) == (503, b"broken")


async def test_whole_answers_share_one_connection():
    caller = make_backend_client()
    server = BackendServer()
    async with server.running() as address:
        for number in range(3):
            req = make_request(request_id=f"r{number}", body=b"%d" % number)
            answer = await caller.call(address, req)
            assert answer.body == b"whole:%d" % number
        await caller.stop()
    assert len(set(server.peers)) == 1


@pytest.mark.parametrize("echoes", [True, False])
async def test_a_double_answer_is_never_given_to_the_next_request(echoes):
    connections: list[int] = []

    def twice(head: bytes) -> bytes:
        own = request_id(head)
        echo = b"Cassiaweir-Request-Id: " + own + b"\r\n" if echoes else b""
        connections.append(1)
        return (
            b"HTTP/1.1 200 OK\r\n" + echo + b"Content-Length: 2\r\n\r\n" + own[:2]
        ) * 2

    caller = make_backend_client()
    async with raw_server(twice, close=False) as address:
        first = await caller.call(address, make_request(request_id="r1"))
        second = await caller.call(address, make_request(request_id="r2"))
        await caller.stop()
    assert (first.body, second.body) == (b"r1", b"r2")


async def test_a_late_answer_is_never_given_to_the_next_request():
    answered = asyncio.Event()
    late = asyncio.Event()

    async def answer(request: web.Request) -> web.Response:
        if await request.read() == b"slow":
            late.set()
            await answered.wait()
            return web.Response(body=b"late")
        return web.Response(body=b"prompt")

    caller = make_backend_client()
    server = BackendServer(answer)
    async with server.running() as address:
        asked = asyncio.create_task(caller.call(address, make_request(body=b"slow")))
        await late.wait()
        asked.cancel()
        await asyncio.gather(asked, return_exceptions=True)
        answered.set()
        prompt = await caller.call(address, make_request(request_id="r2"))
        await caller.stop()
    assert prompt.body == b"prompt"
    assert len(set(server.peers)) == 2


async def test_a_deadline_during_an_answer_may_have_run():
    forever = asyncio.Event()

    async def never(request: web.Request) -> web.Response:
        await forever.wait()
        return web.Response()

    caller = make_backend_client()
    async with BackendServer(never).running() as address:
        deadline = SystemClock().monotonic() + 0.2
        assert await verdict_of(caller, address, deadline=deadline) is (
            Verdict.MAY_HAVE_RUN
        )
        await caller.stop()


async def test_an_idle_connection_that_received_something_is_closed():
    pushed = asyncio.Event()
    writers: list[asyncio.StreamWriter] = []

    async def handle(reader, writer) -> None:
        writers.append(writer)
        while await reader.readuntil(b"gauge"):
            writer.write(HEAD % 5 + b"whole")

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
    caller = make_backend_client()
    await caller.call(address, make_request())
    connector = caller._sessions[address].connector
    ((proto, _),) = next(iter(connector._conns.values()))
    received = proto.data_received

    def note(data: bytes) -> None:
        received(data)
        pushed.set()

    proto.data_received = note
    writers[0].write(HEAD % 5 + b"stale")
    await pushed.wait()
    answer = await caller.call(address, make_request(request_id="r2"))
    await caller.stop()
    server.close()
    assert answer.body == b"whole"
    assert len(writers) == 2


async def test_a_gateway_uses_no_more_than_its_part_of_the_connections():
    go_on = asyncio.Event()

    async def wait(request: web.Request) -> web.Response:
        await go_on.wait()
        return web.Response(body=b"whole")

    gateways = [7]
    caller = HttpBackendClient(gateways=lambda: gateways[0], clock=SystemClock())
    server = BackendServer(wait)
    async with server.running() as address:
        go_on.set()
        await caller.call(address, make_request())
        gateways[0] = 30
        calls = [
            asyncio.create_task(caller.call(address, make_request())) for _ in range(6)
        ]
        await asyncio.gather(*calls)
        await caller.stop()
    assert len(set(server.peers)) <= 2


async def test_a_backend_server_learns_which_entry_vm_calls():
    callers = []

    async def answer(request: web.Request) -> web.Response:
        callers.append(request.headers.get("Cassiaweir-Caller"))
        return web.Response(body=b"whole")

    caller = HttpBackendClient(gateways=lambda: 7, clock=SystemClock(), vm="augusta-1")
    async with BackendServer(answer).running() as address:
        await caller.call(address, make_request())
        await caller.stop()
    assert callers == ["augusta-1"]
