"""Tests from the review of issue 47: its causes, where they could act elsewhere."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from datetime import timedelta

from cassiaweir.dispatch import OrderOutcome, ServerReport
from cassiaweir.dispatch._cancel_age import MAX_CANCELS_AGE
from cassiaweir.dispatch._job_rows import JOB_PREFIXES
from cassiaweir.dispatch._orders import StartResult
from cassiaweir.dispatch._record_keeper import RecordKeeper
from cassiaweir.dispatch._runs import RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_records import ServerRecords
from cassiaweir.dispatch._term import JOBS_FEED_WAIT, JOBS_PAUSE
from cassiaweir.exceptions import UnavailableError
from cassiaweir.feeds import TableWatch
from cassiaweir.leadership._write_queue import WriteQueue
from cassiaweir.observe import Metrics
from cassiaweir.types import Changes, Snapshot, Write
from cassiaweir.verdict import Verdict
from tests.test_dispatch_orders import SERVER, PooledOrders, now
from tests.test_leadership_commits import CommitRig
from tests.virtual_time import VirtualClock, run_virtual


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
        assert 0 < started <= 6
        assert results.count(StartResult.NOT_STARTED) == len(results) - started

    run_virtual(body)


# Guards against SHORT (issue 47): a new server gets no runs until all rows that were
# queued before its own are stored.
def test_a_new_server_waits_for_its_own_row_alone() -> None:
    async def body() -> None:
        rig = CommitRig()
        rig.node.fault_mode = "busy"
        await asyncio.sleep(0.1)
        for number in range(600):
            rig.commits.put(Write(f"progress/main/{number}", b"x"))
        woken: list[int] = []
        keeper = RecordKeeper(
            ServerRecords(rig.commits, {}, 1), rig.commits, VirtualClock(),
            Metrics(), lambda: woken.append(len(rig.store.rows)),
        )  # fmt: skip
        server = Server(SERVER)
        server.update_from_report(ServerReport(1_000, 1, [], []), now())
        storing = asyncio.create_task(keeper.store(server))
        await asyncio.sleep(0.01)
        assert server.recording and not server.recorded
        rig.node.fault_mode = ""
        await storing
        assert server.recorded and not server.recording
        assert f"known/main/{SERVER.server_id}" in rig.store.rows
        assert woken[0] < 300, f"{woken[0]} rows were stored before"
        await rig.close()

    run_virtual(body)


class SlowFeed:
    """Answers each call `DELAY_S` late; nothing changes."""

    DELAY_S = 0.4

    async def snapshot(self, prefix: str) -> Snapshot:
        await asyncio.sleep(self.DELAY_S)
        return Snapshot([], 1)

    async def changes(self, table: str, after: int, wait: timedelta) -> Changes:
        await asyncio.sleep(wait.total_seconds() + self.DELAY_S)
        return Changes([], [], after)


# Guards against SHORT (issue 47): while no job row changes, the view of cancels is as
# old as two waits of its feed, and a store that is a little slow lets nothing start.
def test_a_slow_store_without_changes_does_not_make_the_cancels_too_old() -> None:
    async def body() -> None:
        watch = TableWatch(
            SlowFeed(), JOB_PREFIXES, VirtualClock(),
            wait=JOBS_FEED_WAIT, pause=JOBS_PAUSE,
        )  # fmt: skip
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(3)
        ages = []
        for _ in range(1_000):
            await asyncio.sleep(0.01)
            ages.append(watch.age())
        assert max(ages) <= MAX_CANCELS_AGE, f"{max(ages).total_seconds():.2f} s"
        task.cancel()

    run_virtual(body)


# Guards against rows that are never stored, and all behind them (issue 47): urgent rows
# that are large fill each transaction and are written again meanwhile.
def test_large_urgent_rows_leave_room_for_the_others() -> None:
    queue = WriteQueue()
    for number in range(10):
        queue.put(Write(f"t/{number}", b"x"))
    for _ in range(3):
        for number in range(20):
            queue.put(Write(f"u/{number}", b"x" * 48_000), urgent=True)
        taken = [queued.write.key for queued in queue.take()]
        assert taken[0].startswith("u/")
    assert not any(f"t/{number}" in queue for number in range(10))
    queue.put(Write("v", b"x" * 600_000), urgent=True)
    while "v" in queue:
        assert queue.take()
