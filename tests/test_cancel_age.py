"""Tests that no task starts by a view of cancels that is too old."""

from __future__ import annotations

import asyncio

import pytest

from cassiaweir.dispatch import ServerReport, cancel_key, job_key
from cassiaweir.dispatch._evacuation import StartPermit
from cassiaweir.dispatch._orders import OrderSender
from cassiaweir.jobs import JobState, StepSpec
from cassiaweir.types import Write
from tests.site_fakes import FakeSite
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
