"""Tests that orders to one server take turns, and are checked again after that."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from cassiaweir.dispatch import OrderOutcome
from cassiaweir.dispatch._call_queue import MAX_ORDERS_PER_SERVER, CallKind
from cassiaweir.dispatch._orders import StartResult, _start_kind
from cassiaweir.dispatch._runs import RunState
from cassiaweir.exceptions import UnavailableError
from cassiaweir.verdict import Verdict
from tests.test_dispatch_orders import SERVER, PooledOrders, now
from tests.virtual_time import run_virtual


class PooledStops(PooledOrders):
    """Orders to stop runs need a connection as well; none answers while `silent`."""

    silent = False

    async def stop_run(self, *args: object) -> OrderOutcome:
        """Stop a run once there is a free connection."""
        try:
            async with asyncio.timeout(self.CONNECT_S):
                await self.pool.acquire()
        except TimeoutError:
            raise UnavailableError("no connection", verdict=Verdict.NOT_RUN) from None
        self.stops.append(now())
        try:
            if self.silent:
                await asyncio.sleep(0.4)
                raise UnavailableError("no answer", verdict=Verdict.MAY_HAVE_RUN)
            await asyncio.sleep(self.ANSWER_S)
        finally:
            self.pool.release()
        return OrderOutcome.ACCEPTED


# Guards against SHORT (issue 47): a job with many runs is cancelled, and a start on the
# same server gets no connection, so that a sound server is taken for unreachable.
def test_many_stops_on_one_server_do_not_make_it_unreachable() -> None:
    async def body() -> None:
        orders = PooledStops(runs=61)
        *stopped, started = orders.runs
        stops = [asyncio.create_task(orders.sender.stop(run)) for run in stopped]
        await asyncio.sleep(0)
        result, _ = await orders.sender.start(started)
        assert result is StartResult.STARTED
        assert orders.server.reachable
        await asyncio.gather(*stops)
        assert len(orders.stops) == len(stopped)

    run_virtual(body)


# Guards against stops that wait for their turn after the server's lease has expired.
def test_stops_on_a_silent_server_end_with_its_lease() -> None:
    async def body() -> None:
        orders = PooledStops(runs=60)
        orders.silent = True
        orders.server.reachable = False
        orders.server.next_lease_end_ms(now())

        async def confirm() -> None:
            while True:
                orders.leadership.confirmed_at = now()
                await asyncio.sleep(0.1)

        confirming = asyncio.create_task(confirm())
        stops = [asyncio.create_task(orders.sender.stop(run)) for run in orders.runs]
        expired_for_s = 0.0
        while expired_for_s < 1.0:
            await asyncio.sleep(0.05)
            expired = orders.server.leases_expired(orders.leadership.confirmed_at)
            expired_for_s += 0.05 * expired
        assert all(stop.done() and stop.result() for stop in stops)
        confirming.cancel()

    run_virtual(body)


# Guards against a stop that is sent after its run has ended while it waited.
def test_a_stop_that_waits_is_not_sent_for_a_run_that_has_ended() -> None:
    async def body() -> None:
        orders = PooledStops(runs=20)
        stops = [asyncio.create_task(orders.sender.stop(run)) for run in orders.runs]
        await asyncio.sleep(0.01)
        sent = len(orders.stops)
        assert 0 < sent < len(orders.runs)
        assert all(run.state is RunState.STOPPING for run in orders.runs)
        for run in orders.runs:
            orders.server.remove(run.key)
        assert not any(await asyncio.gather(*stops))
        assert len(orders.stops) == sent

    run_virtual(body)


# Guards against DRAIN: a start is placed, waits for its turn or its rows, and is sent
# seconds after the server has said that it will leave.
def test_a_start_that_waits_is_not_sent_to_a_server_that_drains_by_then() -> None:
    async def body() -> None:
        orders = PooledStops(runs=50)
        work = asyncio.gather(*(orders.sender.start(run) for run in orders.runs))
        await asyncio.sleep(0.12)
        orders.server.entry = replace(SERVER, draining=True)
        results = [result for result, _ in await work]
        started = results.count(StartResult.STARTED)
        # Three times as many can have been sent by then as are under way at once.
        assert 0 < started <= 3 * MAX_ORDERS_PER_SERVER
        assert results.count(StartResult.NOT_STARTED) == len(results) - started

    run_virtual(body)


# Guards against LOST (issue 50): stops of runs that a former leader has left behind get
# no connection, or leave none for the report that renews the server's lease.
def test_many_stops_of_orphan_runs_take_turns() -> None:
    async def body() -> None:
        orders = PooledStops(runs=60)
        server = orders.server
        server.orphan_runs = frozenset(run.key for run in orders.runs)
        sender = orders.sender
        stops = [
            asyncio.create_task(sender.stop_orphan_run(server, *key))
            for key in server.orphan_runs
        ]
        await asyncio.sleep(0.12)
        assert orders.pool._value > 0
        # The others have ended meanwhile.
        server.orphan_runs = frozenset()
        await asyncio.gather(*stops)
        assert 0 < len(orders.stops) <= 3 * MAX_ORDERS_PER_SERVER

    run_virtual(body)


# Guards against the same by stops of starts that may still be carried out late.
def test_many_stops_of_late_starts_take_turns() -> None:
    async def body() -> None:
        orders = PooledStops(runs=60)
        server = orders.server
        stops = []
        for run in orders.runs:
            server.late_starts.add(run.key)
            stop = orders.sender.stop_late_start(server, *run.key)
            stops.append(asyncio.create_task(stop))
        await asyncio.sleep(0.12)
        assert orders.pool._value > 0
        orders.leadership.confirmed_at = now()
        await asyncio.gather(*stops)
        assert len(orders.stops) == len(orders.runs)
        assert not server.late_starts

    run_virtual(body)


# Guards against the same by repeats of starts that servers have left unanswered.
def test_many_repeats_of_starts_in_doubt_take_turns() -> None:
    async def body() -> None:
        orders = PooledStops(runs=40)
        server = orders.server
        server.next_lease_end_ms(now())
        for run in orders.runs:
            run.sent_at = now()
        in_doubt = [
            asyncio.create_task(orders.sender._try_start(run, in_doubt=True))
            for run in orders.runs
        ]
        await asyncio.sleep(0.12)
        assert orders.pool._value > 0
        answers = await asyncio.gather(*in_doubt)
        assert set(answers) == {OrderOutcome.ACCEPTED}
        assert server.reachable

    run_virtual(body)


# Guards against urgent tasks whose start got no answer, and is repeated only after all
# batch starts on that server; they cannot be placed elsewhere before.
def test_an_urgent_start_in_doubt_is_repeated_before_batch_starts() -> None:
    async def body() -> None:
        urgent, batch = PooledOrders(runs=2).runs
        urgent.urgent = True
        assert _start_kind(urgent, in_doubt=True) < CallKind.START
        assert _start_kind(urgent, in_doubt=True) > CallKind.URGENT_START
        assert _start_kind(batch, in_doubt=True) > CallKind.START

    run_virtual(body)
