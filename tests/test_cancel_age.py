"""Tests that no task starts by a view of cancels that is too old."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import pytest

from cassiaweir.dispatch import (
    OrderOutcome,
    ServerEntry,
    ServerReport,
    StartOrder,
    cancel_key,
    job_key,
)
from cassiaweir.dispatch._cancel_age import MAX_CANCELS_AGE
from cassiaweir.dispatch._evacuation import StartPermit
from cassiaweir.dispatch._job_rows import JOB_PREFIXES
from cassiaweir.dispatch._orders import OrderSender
from cassiaweir.dispatch._term import JOBS_FEED_WAIT, JOBS_PAUSE
from cassiaweir.feeds import TableWatch
from cassiaweir.jobs import JobState, StepSpec
from cassiaweir.types import Changes, Snapshot, Write
from tests.site_fakes import FakeSite, FakeVm
from tests.test_dispatch_orders import Orders
from tests.virtual_time import VirtualClock, run_virtual

CANCEL_S = 3.0
"""A cancelled job starts nothing later than this after the acknowledgement."""

WIDE = StepSpec(count=400, cpu_millis=4_000, estimate_s=0.5)


def cancel_unnoticed(site: FakeSite, job_id: str) -> None:
    """Store a request to cancel a job of which the leader is not notified."""
    site.store.apply([], [Write(cancel_key(job_id), b"{}")])


def now() -> float:
    return asyncio.get_running_loop().time()


# Guards against UNASKED: the leader's feed of jobs fails while its writes are stored
# and fronts acknowledge cancels, whose notifications get lost.
@pytest.mark.parametrize("seed", range(3))
def test_no_task_starts_by_an_old_view_of_cancels(seed: int) -> None:
    async def body() -> None:
        site = FakeSite(servers=4, vms=3, seed=seed)
        leader = await site.wait_for_leader()
        job_id = site.submit(WIDE, task_s=0.5)
        await site.first_start(job_id)
        leader.store.silent_tables = {"jobs"}
        cancel_unnoticed(site, job_id)
        cancelled_at = now()
        await asyncio.sleep(8)
        assert leader.term.serving_epoch
        late = [
            run.began_at - cancelled_at
            for run in site.starts_of(job_id)
            if run.began_at > cancelled_at + CANCEL_S
        ]
        assert not late, f"{len(late)} starts, up to {max(late):.1f} s after the cancel"
        leader.store.silent_tables = set()
        await asyncio.sleep(5)
        next_id = site.submit(WIDE, task_s=0.5)
        await site.first_start(next_id, limit_s=2.0)
        await site.close()

    run_virtual(body)


# Guards against a repeat that is sent although the job was cancelled, or the leader
# lost touch with the cancels, while the server was asked for its lifetime.
@pytest.mark.parametrize("change", ["cancelled", "unknown"])
def test_a_start_is_not_repeated_by_what_was_known_before_the_lifetime(
    change: str,
) -> None:
    async def body() -> None:
        orders = Orders(unanswered=1)
        permits = {"permit": StartPermit.GRANTED}
        sender = OrderSender(
            orders, VirtualClock(), orders.leadership, print,
            lambda _: permits["permit"],
        )  # fmt: skip
        renew_lease = orders.renew_lease

        async def slow_renew_lease(*args: object, **kwargs: object) -> ServerReport:
            await asyncio.sleep(0.2)
            return await renew_lease(*args, **kwargs)

        orders.renew_lease = slow_renew_lease  # type: ignore[method-assign]
        work = asyncio.create_task(sender.start(orders.run))
        await asyncio.sleep(0.15)
        assert len(orders.starts) == 1
        if change == "cancelled":
            orders.run.task.step.job.state = JobState.CANCELLED
        else:
            permits["permit"] = StartPermit.CANCELS_UNKNOWN
        await asyncio.sleep(0.4)
        assert len(orders.starts) == 1
        assert work.done() is (change == "cancelled")
        permits["permit"] = StartPermit.GRANTED
        await work
        assert len(orders.starts) + len(orders.stops) == 2

    run_virtual(body)


# Guards against UNASKED: notifications arrive out of order, the cancel before its job,
# and the leader forgets the cancel as it does not know the job.
@pytest.mark.parametrize("feed", ["silent", "working"])
def test_a_cancel_that_arrives_before_its_job_is_kept(feed: str) -> None:
    async def body() -> None:
        site = FakeSite(servers=4, vms=3)
        leader = await site.wait_for_leader()
        other = next(vm for vm in site.vms if vm is not leader)
        await asyncio.sleep(1)
        if feed == "silent":
            leader.store.silent_tables = {"jobs"}
        job_id = site.submit(WIDE, task_s=0.5, announce_to=other)
        job = site.store.rows[job_key(job_id)]
        site.cancel(job_id)
        leader.term.apply_rows([job])
        await asyncio.sleep(2)
        assert not site.starts_of(job_id)
        assert leader.term.job_state(job_id) is JobState.CANCELLED
        leader.store.silent_tables = set()
        await asyncio.sleep(3)
        assert not site.starts_of(job_id)
        assert leader.term.job_state(job_id) is JobState.CANCELLED
        dispatcher = leader.term._dispatcher
        assert dispatcher is not None
        assert not dispatcher._jobs._early_cancels
        await site.close()

    run_virtual(body)


LATEST_ORDER_S = 12.0
"""A delayed order is carried out this late at most."""

STOP_S = 1.0


# Guards against UNASKED in orders of events that nobody thought of: orders to tasks of
# cancelled jobs and tasks that run on, while feeds and servers fail, leaders change.
@pytest.mark.parametrize("seed", [0, 1, 2, 13, 23, 59])
def test_random_cancels_are_kept_by_all_leaders(seed: int) -> None:
    async def body() -> None:
        site = FakeSite(servers=6, vms=3, seed=seed)
        await site.wait_for_leader()
        sent: list[tuple[float, str]] = []
        for vm in site.vms:
            record_orders(vm, sent)
        cancelled_at = await cancel_under_faults(site)
        await asyncio.sleep(LATEST_ORDER_S)
        await asyncio.sleep(CANCEL_S + STOP_S)
        for server in site.servers.values():
            server.apply_due_events()
        running = {
            task.partition(".")[0]
            for server in site.servers.values()
            for task, _ in server.runs
        }
        await site.close()
        late = [
            at - cancelled_at[job]
            for at, job in sent
            if job in cancelled_at and at > cancelled_at[job] + CANCEL_S
        ]
        assert len(cancelled_at) > 20
        assert not late, f"{len(late)} orders, up to {max(late):.1f} s after the cancel"
        assert not running & cancelled_at.keys()
        assert running

    run_virtual(body)


def record_orders(vm: FakeVm, sent: list[tuple[float, str]]) -> None:
    """Add the time and the job of each start that a VM orders to `sent`."""
    start = vm.orders.start

    async def recorded(
        entry: ServerEntry, order: StartOrder, timeout: timedelta
    ) -> OrderOutcome:
        sent.append((now(), order.task.partition(".")[0]))
        return await start(entry, order, timeout)

    vm.orders.start = recorded  # type: ignore[method-assign]


async def cancel_under_faults(site: FakeSite) -> dict[str, float]:
    """Submit and cancel jobs for 25 s; return when each was cancelled."""
    rng = site.rng
    jobs: list[str] = []
    cancelled_at: dict[str, float] = {}
    while now() < 25:
        step = StepSpec(count=rng.randint(1, 6), cpu_millis=2_000, estimate_s=2.0)
        jobs.append(site.submit(step, task_s=rng.choice((0.5, 2.0, 100.0))))
        for job_id in rng.sample(jobs, k=min(len(jobs), 2)):
            if rng.random() < 0.5 and job_id not in cancelled_at:
                if rng.random() < 0.5:
                    site.cancel(job_id)
                else:
                    cancel_unnoticed(site, job_id)
                cancelled_at[job_id] = now()
        await change_faults(site)
        await asyncio.sleep(rng.uniform(0.05, 0.4))
    for vm in site.vms:
        vm.store.fault_mode = ""
        vm.store.silent_tables = set()
        vm.orders.unhealthy = set()
        vm.orders.unreachable = set()
        vm.orders.late_share = 0.0
    return cancelled_at


async def change_faults(site: FakeSite) -> None:
    """Begin or end faults of the VMs' feeds, stores and orders, or end a leader."""
    rng = site.rng
    for vm in site.vms:
        if rng.random() < 0.04:
            vm.store.silent_tables = rng.choice((set(), {"jobs"}, {"servers"}))
        if rng.random() < 0.02:
            vm.store.fault_mode = rng.choice(("", "", "lossy", "late", "busy"))
        if rng.random() < 0.04:
            ids = list(site.servers)
            vm.orders.unhealthy = set(rng.sample(ids, k=2))
            vm.orders.unreachable = set(rng.sample(ids, k=rng.choice((0, 1))))
            vm.orders.late_share = rng.choice((0.0, 0.2))
    if rng.random() < 0.03:
        site.store.forget_history()
    leader = site.leader()
    if leader is not None and rng.random() < 0.02:
        await leader.kill()
        leader.start()


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
