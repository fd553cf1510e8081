"""Tests of the budget that the HTTP connections of a gateway share."""

import asyncio

from cassiaweir.api._connections import ConnectionBudget
from cassiaweir.observe import Metrics
from tests.test_api_requests import REQUEST_HEADERS, post, send_raw, serving
from tests.test_requests_helpers import BackendServer

BODY_BYTES = 400_000
LIMITS = (
    f"gateway.max_body_bytes={BODY_BYTES}",
    "gateway.max_bytes_in_flight=1048576",
)
# Parsing chunks of one byte takes too long for a body of the full size in a test.
SMALL_CHUNKS = 20_000


class FakeConnection:
    """Records what the budget asks of it."""

    def __init__(self):
        self.calls = []

    def refuse(self):
        self.calls.append("refuse")

    def cut(self):
        self.calls.append("cut")


def build(connections: int, max_connections: int, max_bytes: int = 100):
    budget = ConnectionBudget(max_connections, max_bytes, Metrics())
    conns = [FakeConnection() for _ in range(connections)]
    assert all(map(budget.add, conns))
    return budget, conns


# Guards against idle connections that keep ordinary clients out (issue 56).
def test_a_new_connection_closes_the_longest_idle_one_and_none_that_is_handled():
    budget, [handled, idle, later] = build(3, max_connections=3)
    budget.begin_handling(handled)
    assert budget.add(FakeConnection())
    assert (handled.calls, idle.calls, later.calls) == ([], ["cut"], [])


# Guards against a request that is cut while it runs (issue 56).
def test_a_new_connection_is_refused_where_all_others_are_handled():
    budget, conns = build(2, max_connections=2)
    for conn in conns:
        budget.begin_handling(conn)
    assert not budget.add(FakeConnection())
    assert [conn.calls for conn in conns] == [[], []]


# Guards against bodies that stop short of their end and take all memory (issue 56).
def test_bytes_beyond_the_bound_refuse_the_body_that_began_to_arrive_first():
    budget, [handled, first, second] = build(3, max_connections=3)
    budget.keep(handled, 30)
    budget.begin_handling(handled)
    budget.keep(first, 40)
    budget.keep(second, 40)
    assert (handled.calls, first.calls, second.calls) == ([], ["refuse"], [])
    assert budget.kept_bytes == 70


# Guards against bytes that stay counted after their connection has closed (issue 56).
def test_a_closed_or_answered_connection_gives_its_bytes_back():
    budget, [closed, answered] = build(2, max_connections=2)
    budget.keep(closed, 40)
    budget.keep(answered, 40)
    budget.begin_handling(answered)
    budget.remove(closed)
    budget.keep(answered, 0)
    budget.end_handling(answered)
    assert budget.kept_bytes == 0


# Guards against a limit that a single client inside the documented limits meets.
async def test_a_body_of_the_full_size_is_served_and_so_are_chunks_of_one_byte():
    server = BackendServer()
    async with serving(server, *LIMITS) as gateway:
        whole = await post(gateway, REQUEST_HEADERS, b"x" * BODY_BYTES)
        head = b"POST /v1/requests/inventory HTTP/1.1\r\nHost: a\r\n"
        key = REQUEST_HEADERS | {"Idempotency-Key": "k2", "Connection": "close"}
        lines = "".join(f"{name}: {value}\r\n" for name, value in key.items())
        chunks = b"1\r\nx\r\n" * SMALL_CHUNKS + b"0\r\n\r\n"
        chunked = await send_raw(
            gateway,
            head + lines.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + chunks,
        )
    assert whole[0] == 200
    assert chunked.startswith(b"HTTP/1.1 200")
    assert server.bodies == [b"x" * BODY_BYTES, b"x" * SMALL_CHUNKS]


# Guards against a refusal that the client cannot read, or that does not say that the
# request has not run (issue 56).
async def test_a_body_beyond_the_budget_gets_a_refusal_that_says_not_run():
    server = BackendServer()
    head = b"POST /v1/requests/inventory HTTP/1.1\r\nHost: a\r\n"
    stopping_short = head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    stopping_short += b"x" * (BODY_BYTES - 1)
    async with serving(server, *LIMITS) as gateway:
        first = asyncio.create_task(send_raw(gateway, stopping_short))
        others = [
            asyncio.create_task(send_raw(gateway, stopping_short)) for _ in range(2)
        ]
        answers, _ = await asyncio.wait(
            [first, *others], return_when=asyncio.FIRST_COMPLETED
        )
        [refused] = [task.result() for task in answers]
        ordinary = await post(gateway, REQUEST_HEADERS)
        for task in others:
            task.cancel()
    assert refused.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1" in refused or b"retry-after: 1" in refused
    assert b'"verdict":"not_run"' in refused
    assert ordinary[0] == 200
    assert server.bodies == [b"gauge"]
