"""Tests of `cassiaweir.scheduling`: the load measured, and whom it refuses."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import replace

import pytest

from cassiaweir.scheduling import (
    AdmissionPolicy,
    Admitted,
    BacklogMeter,
    CustomerLoad,
    LoadSnapshot,
    QueueLoad,
    QueuePlan,
    Rejected,
    ServerRoom,
    Submission,
    WaitingTasks,
    decide,
)
from cassiaweir.types import Resources

NAN = math.nan
LOAD = LoadSnapshot(
    3, 10.0, 64_000, {"q": QueueLoad(9.0, 40.0, full=True)},
    {"hot": CustomerLoad(0.25, 6.0)},
)  # fmt: skip
JOB = Submission("id", "q", "calm", path_s=1.0, allowed_s=4.0, worthless_s=12.0)
HOT = Submission("id", "q", "hot")
ROOM = Resources(16_000, 32_000)
TASK = Resources(2_500, 100)
PLANS = {"q": QueuePlan("s", 1), "urgent": QueuePlan("s", 0)}


def loaded(queue: QueueLoad, customer: CustomerLoad | None = None) -> LoadSnapshot:
    customers = {"hot": customer} if customer else {}
    return replace(LOAD, queues={"q": queue}, customers=customers)


def refused(job: Submission, load: LoadSnapshot | None, now: float = 10.0) -> str:
    """Return the reason for which a job beyond its share is refused, if it is."""
    decision = decide(job, load, now, within_share=False)
    return decision.reason if isinstance(decision, Rejected) else ""


class Meter:
    """A meter of a fleet of ten servers, with one sample in 0.2 s."""

    def __init__(self) -> None:
        self.meter = BacklogMeter(3)
        self.now = 0.0

    def measure(self, free: int, *waiting: WaitingTasks, samples: int = 8):
        """Take samples while each server has `free` thousandths of a core left."""
        for _ in range(samples):
            self.now += 0.2
            load = self.meter.measure(
                self.now,
                self.now,
                queues=PLANS,
                servers=[ServerRoom("s", ROOM, Resources(free, 32_000))] * 10,
                waiting=waiting,
                waiting_excess={"hot": 4},
                weight_of={"hot": 2.0, "calm": 2.0}.get,
            )
        return load


def test_one_customer_at_seven_times_its_share_loses_only_its_excess() -> None:
    """Guards against refusing what the share allows, and against refusing nothing."""
    meter, policy = Meter(), AdmissionPolicy()
    waiting = WaitingTasks("q", TASK, 100, 1.0)
    accepted: Counter[str] = Counter()
    for number in range(140):
        customer = "calm" if number % 8 == 7 else "hot"
        if number % 2 == 0:
            policy.update(meter.measure(0, waiting, samples=1))
        job = Submission(str(number), "q", customer)
        decision = policy.decide(job, meter.now)
        accepted[customer] += decision == Admitted()
        if isinstance(decision, Rejected):
            turn_at = meter.now + decision.turn_in_s
            meter.meter.record_refusal(job.job_id, customer, meter.now, turn_at)
        else:
            meter.meter.record_job(job.job_id, customer, meter.now)
    seconds = 70 * 0.2
    assert accepted["calm"] == 17
    assert 2.0 * seconds <= accepted["hot"] <= 2.0 * 2.0 * seconds


def test_a_burst_of_all_customers_within_their_shares_refuses_only_lost_jobs() -> None:
    """Guards against refusing jobs within a share that would still have a value."""
    meter = Meter()
    for number in range(8):
        meter.meter.record_job(str(number), f"c{number}", 1.5)
    work = WaitingTasks("q", TASK, 640, 1.0)
    late = replace(work, on_time=False, late=True)
    load = meter.measure(0, work, late)
    assert load.customers == {}
    assert load.queues["q"] == QueueLoad(10.0, 20.0, full=True)
    assert load.queues["urgent"] == QueueLoad(0.0, 0.0, full=False)
    assert refused(JOB, load, meter.now) == "no_value"
    for valued in (replace(JOB, allowed_s=11.0), replace(JOB, worthless_s=15.0)):
        assert refused(valued, load, meter.now) == ""


@pytest.mark.parametrize(
    ("free", "waiting", "samples"),
    [
        (TASK.cpu_millis, [WaitingTasks("q", TASK, 9, 1.0)], 8),
        (0, [], 8),
        (900, [WaitingTasks("q", TASK, 9, 1.0, startable=False)], 8),
        (0, [WaitingTasks("q", replace(TASK, cpu_millis=99_000), 9, 1.0)], 8),
        (0, [WaitingTasks("q", TASK, 9, 1.0)], 4),
    ],
    ids=["room", "no work", "work of later steps", "too large", "not settled"],
)
def test_servers_with_room_are_not_full(free, waiting, samples) -> None:
    """Guards against refusals while the fleet has capacity, or before it is measured.

    Work that waits for other reasons than room must not count as a lack of room.
    """
    load = Meter().measure(free, *waiting, samples=samples)
    assert not load.is_full("q")


def test_servers_that_fill_for_a_moment_are_not_full() -> None:
    """Guards against refusals in the moments in which a normal load fills the fleet."""
    meter, work = Meter(), WaitingTasks("q", TASK, 9, 1.0)
    meter.measure(8_000, work)
    assert not meter.measure(0, work, samples=2).is_full("q")
    assert meter.measure(0, work, samples=1).is_full("q")


def test_refused_submissions_count_once_and_move_later_turns_back() -> None:
    """Guards against a customer whose refusals make it look calm again.

    The feed delivers each row that was already announced once more.
    """
    meter = Meter()
    for number in range(40):
        for _ in range(2):
            meter.meter.record_refusal(str(number), "hot", 1.5, 20.0)
    load = meter.measure(0)
    assert load.customers == {"hot": CustomerLoad(6 / 40, 44 / 2.0)}


@pytest.mark.parametrize("now", [12.1, 9.9])
def test_no_load_an_old_one_or_one_of_the_future_refuses_nothing(now: float) -> None:
    """Guards against refusals after the leader is gone, cut off or paused."""
    assert refused(JOB, LOAD) == "no_value"
    assert refused(HOT, LOAD) == "beyond_share"
    for job in (JOB, HOT):
        assert refused(job, LOAD, now) == ""
        assert refused(job, None) == ""


def test_a_load_of_a_former_leader_is_not_used() -> None:
    """Guards against refusals by a leader that was replaced, or not yet settled."""
    policy = AdmissionPolicy()
    policy.update(LOAD)
    policy.update(replace(LOAD, epoch=2, time=10.5, queues={}))
    assert isinstance(policy.decide(JOB, 10.0), Rejected)
    policy.note_epoch(4)
    policy.update(LOAD)
    assert policy.decide(JOB, 10.0) == Admitted()
    policy.update(LoadSnapshot(4, 10.0))
    assert policy.decide(JOB, 10.0) == Admitted()


@pytest.mark.parametrize(
    "load",
    [
        loaded(QueueLoad(NAN, 40.0, full=True)),
        loaded(QueueLoad(9.0, -40.0, full=True)),
        loaded(QueueLoad(9.0, math.inf, full=True)),
        loaded(QueueLoad(0.0, 0.0, full=True), CustomerLoad(NAN, 1.0)),
        loaded(QueueLoad(0.0, 0.0, full=True), CustomerLoad(-0.5, 1.0)),
        loaded(QueueLoad(0.0, 0.0, full=True), CustomerLoad(0.5, NAN)),
        replace(LOAD, queues={"other": QueueLoad(9.0, 40.0, full=True)}),
        replace(LOAD, time=NAN),
    ],
)
def test_implausible_values_refuse_nothing(load: LoadSnapshot) -> None:
    """Guards against refusals by values that no leader can have measured."""
    policy = AdmissionPolicy()
    policy.update(load)
    for job in (JOB, HOT):
        assert refused(job, load) == ""
        assert policy.decide(job, 10.0) == Admitted()


def test_refused_callers_are_told_to_return_at_different_times() -> None:
    """Guards against all refused callers returning in the same second."""
    decisions = [
        decide(replace(HOT, job_id=f"{number:016x}"), LOAD, 10.0, within_share=False)
        for number in range(400)
    ]
    times = Counter(
        each.retry_after_s for each in decisions if isinstance(each, Rejected)
    )
    assert sum(times.values()) == 400
    assert min(times) >= 6
    assert len(times) >= 3
    assert max(times.values()) <= 180
    huge = replace(LOAD, customers={"hot": CustomerLoad(0.25, 1e300)})
    decision = decide(HOT, huge, 10.0, within_share=False)
    assert isinstance(decision, Rejected)
    assert decision.retry_after_s == 30
