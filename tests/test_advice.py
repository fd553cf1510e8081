"""Tests of which servers the advice service is asked about, when, and by which VM."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from hypothesis import given
from hypothesis import strategies as st

from cassiaweir.dispatch import Advice, AdviceCache
from cassiaweir.dispatch._advice_cache import MAX_URGENT_PER_LANE
from cassiaweir.dispatch._advice_choice import (
    MAX_SERVERS_PER_QUESTION,
    AllowedShare,
    exclude_servers,
    servers_to_ask,
)
from cassiaweir.dispatch._placement import Candidate, find_future_candidates
from cassiaweir.dispatch._runs import Run
from cassiaweir.jobs import Job, JobSpec, Step, StepSpec
from cassiaweir.queues import AdvicePolicy
from tests.site_fakes import QUEUE
from tests.test_dispatch_parts import server_of, step_of
from tests.virtual_time import VirtualClock, run_virtual

POLICY = AdvicePolicy(question_s=0.35, each_server_s=0.005, valid_s=2.5)


def candidates(count: int, slots: int) -> list[Candidate]:
    return [Candidate(server_of(f"i-{number}"), slots) for number in range(count)]


class RecordingAdvisor:
    """Allows the servers in `allowed` and records every question."""

    def __init__(self, allowed: Sequence[str], peers: Sequence[str] = ()) -> None:
        self.allowed = set(allowed)
        self.peers = tuple(peers)
        self.asked: list[tuple[str, str, tuple[str, ...]]] = []

    def addresses(self) -> Sequence[str]:
        return self.peers

    async def advise(self, *args: object) -> Advice:
        lane, step, ids, _ = args if len(args) == 4 else ("", *args)
        self.asked.append((str(lane), str(step), tuple(ids)))  # type: ignore[arg-type]
        await asyncio.sleep(0.35)
        found = {each: f"t-{each}" for each in ids if each in self.allowed}  # type: ignore[attr-defined]
        return Advice(found, 2.5)


def step_of_job(number: int) -> Step:
    """Return the only step of the job with this number as its id."""
    spec = JobSpec(f"{number:016x}", QUEUE, "c", "x", (StepSpec(count=1),), 0.0)
    return Job(spec, 1, 3).steps[0, 0]


def cache_for(advisor: RecordingAdvisor) -> AdviceCache:
    return AdviceCache(VirtualClock(), advisor, advisor, lambda _: None)


def test_question_about_few_tasks_on_a_large_fleet_names_few_servers():
    ids = servers_to_ask(candidates(176, slots=3), 3, share=0.7)
    assert 2 <= len(ids) <= 6


def test_question_about_many_tasks_names_as_many_servers_as_they_need():
    ids = servers_to_ask(candidates(176, slots=3), 40, share=0.35)
    assert 40 / 3 / 0.35 < len(ids) < 176


@given(
    count=st.integers(0, 300),
    slots=st.integers(1, 8),
    tasks=st.integers(1, 150),
    share=st.floats(0.01, 1.0),
)
def test_question_names_each_server_once_and_at_most_the_maximum(
    count: int, slots: int, tasks: int, share: float
):
    ids = servers_to_ask(candidates(count, slots), tasks, share)
    assert len(ids) == len(set(ids)) <= min(count, MAX_SERVERS_PER_QUESTION)
    assert ids or count == 0


def test_allowed_share_follows_the_answers():
    share = AllowedShare()
    for _ in range(50):
        share.record(asked=20, allowed=7)
    assert 0.34 < share.value < 0.37


def test_excluded_servers_are_left_out_of_the_candidates():
    found = exclude_servers(candidates(3, 1), frozenset({"i-1"}))
    assert [each.server.server_id for each in found] == ["i-0", "i-2"]


def test_future_candidates_with_the_most_free_cpu_come_first():
    full, half = server_of("full", used=16_000), server_of("half", used=8_000)
    found = find_future_candidates(step_of(cpu_millis=9_000), [full, half], 4)
    assert [each.server.server_id for each in found] == ["half", "full"]


def test_room_of_long_running_tasks_is_not_expected_to_become_free():
    endless = step_of(cpu_millis=9_000, long_running=True)
    server = server_of("i-0")
    server.add(Run(endless.tasks[0], 1, server, endless.demand, "c", placed_at=0.0))
    assert find_future_candidates(step_of(cpu_millis=7_000), [server], 4)[0].slots == 1
    assert not find_future_candidates(step_of(cpu_millis=8_000), [server], 4)


def test_denial_is_cached_for_good_and_a_ticket_until_it_expires():
    async def body() -> None:
        advisor = RecordingAdvisor(["a"])
        cache, step = cache_for(advisor), step_of(cpu_millis=1_000)
        cache.ask(step, POLICY, ["a", "b"], 0.0, urgent=False)
        assert not cache.may_ask(step)
        await asyncio.sleep(0.4)
        assert cache.tickets(step) == {"a": "t-a"}
        assert cache.denied(step) == {"b"}
        await asyncio.sleep(2.5)
        assert cache.tickets(step) == {}
        assert cache.denied(step) == {"b"}

    run_virtual(body)


def test_closed_cache_asks_nothing_more():
    async def body() -> None:
        advisor = RecordingAdvisor(["a"])
        cache = cache_for(advisor)
        for number in range(5):
            cache.ask(step_of_job(number), POLICY, ["a"], 0.0, urgent=False)
        await asyncio.sleep(0.1)
        assert len(advisor.asked) == 1
        await cache.close()
        await asyncio.sleep(3)
        assert len(advisor.asked) == 1

    run_virtual(body)


def test_tickets_of_several_answers_are_kept_together():
    async def body() -> None:
        advisor = RecordingAdvisor(["a", "b"])
        cache, step = cache_for(advisor), step_of(cpu_millis=1_000)
        for server_id in ("a", "b"):
            cache.ask(step, POLICY, [server_id], 0.0, urgent=False)
            await asyncio.sleep(0.4)
        assert cache.tickets(step) == {"a": "t-a", "b": "t-b"}
        cache.invalidate(step, "a")
        assert cache.tickets(step) == {"b": "t-b"}

    run_virtual(body)


def test_last_idle_vm_is_kept_for_urgent_questions():
    async def body() -> None:
        advisor = RecordingAdvisor(["a"], peers=["p1", "p2"])
        cache = cache_for(advisor)
        for number in range(4):
            cache.ask(step_of_job(number), POLICY, ["a"], 0.0, urgent=False)
        await asyncio.sleep(0.1)
        assert len(advisor.asked) == 2
        cache.ask(step_of_job(9), POLICY, ["a"], 1.0, urgent=True)
        await asyncio.sleep(0.01)
        assert [step for _, step, _ in advisor.asked][2:] == [step_of_job(9).name]
        await asyncio.sleep(2)
        assert len(advisor.asked) == 5

    run_virtual(body)


# Guards against a leader that keeps the answers about all steps of its term: a large
# part of its memory by the end of a day with several thousand jobs.
def test_answers_about_an_ended_job_are_forgotten():
    async def body() -> None:
        cache = cache_for(RecordingAdvisor(["i-0"]))
        step, other = step_of_job(1), step_of_job(2)
        for each in (step, other):
            cache.ask(each, POLICY, ["i-0", "i-1"], 0.0, urgent=False)
        await asyncio.sleep(1.0)
        cache.forget_job(step.job)
        assert not cache.allowed(step) and not cache.denied(step)
        assert cache.tickets(other) == {"i-0": "t-i-0"}
        await cache.close()

    run_virtual(body)


# Guards against urgent steps that wait for advice for 0.4 s in a burst: each VM had one
# question under way, and a busy leader takes longer to read an answer than it takes to
# find it.
def test_urgent_questions_share_vms_that_have_nothing_else_to_ask():
    async def body() -> None:
        advisor = RecordingAdvisor([], [f"vm-{number}" for number in range(15)])
        cache = cache_for(advisor)
        policy = AdvicePolicy(0.014, 0.0, 2.5)
        for number in range(40):
            cache.ask(step_of_job(number), POLICY, ["i-0"], 1e9, urgent=False)
        await asyncio.sleep(0)
        slow = {lane for lane, *_ in advisor.asked}
        assert len(slow) == len(advisor.asked) == 14
        for number in range(100, 120):
            cache.ask(step_of_job(number), policy, ["i-0"], 1.0, urgent=True)
        await asyncio.sleep(0)
        urgent = [lane for lane, *_ in advisor.asked[14:]]
        assert not slow & set(urgent)
        assert len(urgent) == 2 * MAX_URGENT_PER_LANE
        await asyncio.sleep(2.0)
        assert len(advisor.asked) == 60
        await cache.close()

    run_virtual(body)
