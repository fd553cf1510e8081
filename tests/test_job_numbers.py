"""Tests that no number in a job, a configuration or a report stops other customers.

Numbers may be as large as JSON can write them, as the platform sets no range.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import math
import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from cassiaweir.dispatch import Refusal, RunningTask, job_key
from cassiaweir.dispatch._job_registry import JobEntry
from cassiaweir.dispatch._objective import (
    critical_path_s,
    objective_of,
    remaining_paths_s,
)
from cassiaweir.dispatch._waiting_steps import rank_of
from cassiaweir.exceptions import InvalidInputError
from cassiaweir.jobs import Job, JobSpec, JobState, StepSpec
from cassiaweir.platform import PlatformJobCodec
from cassiaweir.platform._manifest import decode_manifest
from cassiaweir.queues import AdvicePolicy, Customer, Queue
from cassiaweir.types import Resources, Row, Write
from tests.site_fakes import ADVISED, QUEUE, URGENT, FakeSite, configuration
from tests.test_load_admission import admission_at
from tests.virtual_time import VirtualClock, run_virtual

HUGE_FLOAT = "1.7e308"
BEYOND_FLOAT = "1e400"
LONG_INTEGER = "9" * 401
LONGER_INTEGER = "9" * 5_000
MANY = 10**400
NUMBERS = st.one_of(
    st.floats(), st.integers(), st.sampled_from([MANY, 1.7e308, math.inf, math.nan])
)
INTEGERS = st.one_of(st.integers(), st.sampled_from([MANY, -MANY]))


def decode(body: str, queue: Queue = QUEUE, customer: str = "odd") -> JobSpec:
    return PlatformJobCodec().decode_submission(
        body.encode(),
        job_id="0" * 16,
        queue=queue,
        customer=customer,
        submitted_at=1.7e9,
    )


def body_with(step: dict[str, str], job: dict[str, str] | None = None) -> str:
    """Return a job of one step; the fields have the numbers as JSON has them."""
    fields = ",".join(f'"{name}":{value}' for name, value in step.items())
    more = "".join(f',"{name}":{value}' for name, value in (job or {}).items())
    return f'{{"spec":"0.5/done","steps":[{{{fields}}}]{more}}}'


@contextmanager
def error_lines() -> Iterator[list[str]]:
    """Collect what is logged as an error in the block."""
    lines: list[str] = []
    sink = logger.add(lambda message: lines.append(str(message)[:400]), level="ERROR")
    try:
        yield lines
    finally:
        logger.remove(sink)


# Guards against REFUSED and LOST: a number beyond what the decoder can represent made
# a job invalid, and one just within it stopped the placement of all jobs.
@pytest.mark.parametrize("number", [HUGE_FLOAT, BEYOND_FLOAT, LONG_INTEGER])
def test_an_estimate_of_any_size_is_only_a_poor_hint(number: str) -> None:
    spec = decode(body_with({"count": "10000", "cpu": "16000", "estimate_ms": number}))
    assert 0 < spec.steps[0].estimate_s < math.inf
    assert math.isfinite(critical_path_s(spec, QUEUE, 96_000))


# Guards against errors far from where the number came from: an integer beyond the range
# of floats raises wherever it meets one.
@pytest.mark.parametrize("number", ["1" + "0" * 40, LONG_INTEGER, LONGER_INTEGER])
@pytest.mark.parametrize("field", ["cpu", "mem_mb", "gpu", "anti_affinity", "may_miss"])
def test_an_amount_of_any_size_is_within_the_range_of_floats(
    field: str, number: str
) -> None:
    spec = decode(body_with({"count": "3", field: number}))
    assert critical_path_s(spec, QUEUE, 96_000) < math.inf
    assert JobSpec.decode(spec.encode()) == spec


@pytest.mark.parametrize("number", ["1e400", "NaN", "-" + LONGER_INTEGER, '"3"'])
def test_an_amount_that_is_none_is_refused_with_a_clear_error(number: str) -> None:
    with pytest.raises(InvalidInputError, match=r"number|resources|Expected|JSON"):
        decode(body_with({"count": "3", "cpu": number}))


# Guards against LOST by rows that an earlier version has stored: refusing such numbers
# at the door alone would leave each leader with them.
def test_a_stored_job_with_numbers_of_any_size_is_bounded() -> None:
    spec = decode(body_with({"count": "3"}, {"times": "2"}))
    row = json.loads(spec.encode())
    row["steps"][0] |= {"estimate_s": 1.7e305, "cpu_millis": MANY}
    row |= {"times": MANY, "first_at": 1.7e305, "interval_s": 1.7e305}
    row["queue"] |= {"stretch": 1.7e308, "slack_s": 1.7e305}
    stored = JobSpec.decode(json.dumps(row).encode())
    job = Job(stored, 1, 3)
    objective = objective_of(stored, stored.queue, 96_000, 0.0)
    assert math.isfinite(objective.worthless_at)
    assert math.isfinite(stored.due_at(stored.times))
    assert job.count_overdue(1e9) == 0


# Guards against a configuration whose numbers make each rank fail: deadlines are
# computed from them.
def test_numbers_of_a_configuration_are_bounded() -> None:
    found = decode_manifest(
        b'{"version":1,"routes":[{"name":"q","host":"h","prefix":"/","service":"s",'
        b'"stretch":1.7e308,"slo_ms":1.7e308,"priority":%d,"attempts":%d,'
        b'"hint":{"decide_ms":1e308,"each_ms":1e308,"valid_ms":1e308}}],'
        b'"tenants":[{"name":"t","weight":1.7e308,"cap":{"cpu":%d}}]}'
        % (MANY, MANY, MANY)
    )
    queue = found.queues[0]
    spec = decode(body_with({"count": "3", "estimate_ms": HUGE_FLOAT}), queue)
    assert math.isfinite(objective_of(spec, queue, 96_000, 0.0).worthless_at)
    assert queue.priority + 0.0 < math.inf
    assert found.customers["t"].cap.cpu_millis + 0.0 < math.inf


def test_numbers_in_a_report_and_in_a_refusal_are_bounded() -> None:
    running = RunningTask("a.0.0.0", 1, "", math.inf, math.nan)
    assert math.isfinite(running.percent)
    assert running.load == 0.0
    assert math.isfinite(Refusal("c", -1.7e308, 1.7e308).validity_s)


# Guards against NaN and overflow in any step of ranking, whatever the numbers are.
@settings(max_examples=300)
@given(
    st.lists(st.tuples(INTEGERS, NUMBERS, st.integers(1, 10_000)), min_size=1),
    NUMBERS,
    NUMBERS,
    st.one_of(st.none(), st.tuples(NUMBERS, NUMBERS, NUMBERS)),
    NUMBERS,
)
def test_every_job_has_a_rank(
    numbers: list[tuple[int, float, int]],
    stretch: float,
    slack_s: float,
    advice: tuple[float, float, float] | None,
    interval_s: float,
) -> None:
    queue = Queue(
        "q", "h", "/", "s", 1, 3, stretch, slack_s,
        advice=AdvicePolicy(*advice) if advice else None,
    )  # fmt: skip
    steps = tuple(
        StepSpec(count=count, cpu_millis=cpu, estimate_s=estimate_s)
        for cpu, estimate_s, count in numbers
    )
    spec = JobSpec(
        "0" * 16, queue, "c", "x", steps, 1.7e9, times=3, interval_s=interval_s
    )
    objective = objective_of(spec, queue, 96_000, 0.0)
    entry = JobEntry(Job(spec, 1, 3), objective, over_share=False)
    for remaining_s in remaining_paths_s(spec):
        due_after_s = spec.due_at(2) - spec.submitted_at
        rank = rank_of(entry, queue, remaining_s, 5.0, due_after_s=due_after_s)
        assert math.isfinite(rank.latest_start)


# Guards against 429 for everybody: the expected wait of new jobs was that of all work
# that waits, by the estimates of its callers.
@pytest.mark.parametrize(
    "step",
    [
        {"count": "10000", "cpu": "16000", "estimate_ms": "1e12"},
        {"count": "10000", "cpu": "16000", "estimate_ms": HUGE_FLOAT},
        {"count": "1", "cpu": "1000", "estimate_ms": BEYOND_FLOAT},
    ],
)
@pytest.mark.parametrize("queue", [QUEUE, replace(QUEUE, stretch=1.0)])
def test_an_absurd_estimate_makes_no_other_job_be_refused(
    step: dict[str, str], queue: Queue
) -> None:
    async def body() -> None:
        site = FakeSite(servers=2, vms=2)
        odd, ordinary = Customer("odd", weight=20.0), Customer("agency", weight=20.0)
        site.configuration.value = configuration(odd, ordinary, queues=(queue,))
        leader = await site.wait_for_leader()
        await asyncio.sleep(2)
        ids = itertools.count(0xF00)
        busy = StepSpec(count=70, cpu_millis=1_000, estimate_s=1.0)
        admission = admission_at(site, leader)
        refused = 0
        for _ in range(6):
            site.submit(busy, queue=queue)
            submit_body(site, ids, body_with(step), queue)
            await asyncio.sleep(1)
            job = replace(decode(body_with({"count": "1"}), queue), customer="agency")
            refused += admission.check(job) is not None
        load = leader.term.load()
        assert load is not None
        assert load.queues[queue.name].full
        assert not refused
        await site.close()

    run_virtual(body)


def odd_body(rng: random.Random) -> str:
    """Return a job with odd numbers in fields drawn at random."""
    large = (HUGE_FLOAT, "1e300", "1e15", "1e-300", "1" + "0" * 300, BEYOND_FLOAT)
    whole = (LONG_INTEGER, "1" + "0" * 300, str(10**18), "16000", "1")
    step = {"count": rng.choice(("1", "3", "10000")), "cpu": "16000"}
    for field in ("estimate_ms", "goal_ms"):
        if rng.random() < 0.6:
            step[field] = rng.choice(large)
    for field in ("cpu", "mem_mb", "gpu", "anti_affinity", "may_miss"):
        if rng.random() < 0.3:
            step[field] = rng.choice(whole)
    if step["cpu"] == "1":
        step["count"] = "3"
    if rng.random() < 0.3:
        step["gang"] = "true"
    job = {}
    if rng.random() < 0.3:
        job["times"] = rng.choice(("1", "3", LONG_INTEGER))
        job["first_ms"] = rng.choice((HUGE_FLOAT, "1e18", BEYOND_FLOAT))
        job["interval_ms"] = rng.choice(large)
    return body_with(step, job)


def submit_body(site: FakeSite, ids: Iterator[int], body: str, queue: Queue) -> str:
    """Store the job in `body` and pass its row to the leader; return its id."""
    job_id = f"{next(ids):016x}"
    spec = PlatformJobCodec().decode_submission(
        body.encode(),
        job_id=job_id,
        queue=queue,
        customer="odd",
        submitted_at=VirtualClock().now().timestamp(),
    )
    site.specs[job_id] = spec
    key, value = job_key(job_id), spec.encode()
    version = site.store.apply([], [Write(key, value)])[key]
    leader = site.leader()
    if leader is not None:
        leader.term.apply_rows([Row(key, version, value)])
    return job_id


# Guards against LOST: one customer's job with odd numbers stopped the placement of all
# others at each leader, in any queue, also at the next leader.
@pytest.mark.parametrize("seed", range(6))
def test_jobs_with_odd_numbers_stop_nobody_elses(seed: int) -> None:
    async def body() -> None:
        site = FakeSite(servers=4, seed=seed)
        odd = Customer("odd", frozenset({"o"}), weight=20.0, cap=Resources(16_000))
        ordinary = Customer("agency", frozenset({"key"}), weight=20.0)
        site.configuration.value = configuration(odd, ordinary)
        rng = random.Random(seed)
        ids = itertools.count(0xF00)
        leader = await site.wait_for_leader()
        jobs = []
        for number in range(24):
            queue = rng.choice((QUEUE, URGENT, ADVISED))
            submit_body(site, ids, odd_body(rng), queue)
            if number % 3 == 0:
                step = StepSpec(count=2, cpu_millis=1_000, estimate_s=0.5)
                kind = rng.choice((QUEUE, URGENT))
                jobs.append(site.submit(step, task_s=0.5, queue=kind))
            await asyncio.sleep(rng.uniform(0.0, 0.2))
            if number == 12:
                await leader.kill()
                await site.wait_for_leader()
        await asyncio.sleep(20)
        leader = await site.wait_for_leader()
        states = {job_id: leader.term.job_state(job_id) for job_id in jobs}
        assert set(states.values()) == {JobState.DONE}, states
        assert not site.faults
        assert leader.term.load() is not None
        await site.close()

    with error_lines() as lines:
        run_virtual(body)
    assert not lines
