"""Tests of which crashes fail a job, and how a successor learns of them."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cassiaweir.jobs import Crash, CrashHistory, Isolation

TASK, OTHER = "j.0.0.0", "j.0.0.1"
MAX_STARTS = 5


def crashed(*crashes: Crash, task: str = TASK) -> CrashHistory:
    history = CrashHistory()
    for number, crash in enumerate(crashes):
        history.add_loss(task, f"i-{number}@1", crash)
        history.confirm(f"i-{number}@1", crash)
    return history


def test_a_loss_without_a_crash_is_forgotten() -> None:
    history = CrashHistory()
    history.add_loss(TASK, "i-1@1", Crash())
    assert history.isolation([TASK]) is Isolation.APART
    history.dismiss("i-1@1")
    assert history.isolation([TASK]) is Isolation.NONE
    assert not history.exceeds_limit(TASK)


def test_a_second_crash_lets_a_task_run_alone() -> None:
    assert crashed(Crash(), Crash()).isolation([TASK]) is Isolation.ALONE


def test_one_widespread_crash_blames_nobody() -> None:
    assert not crashed(Crash(widespread=True)).isolation([TASK])


# Guards against innocent jobs that are given up for crashes with other causes.
def test_crashes_beside_other_jobs_do_not_fail_a_job_at_once() -> None:
    assert not crashed(Crash(), Crash(), Crash()).exceeds_limit(TASK)
    assert not crashed(Crash(alone=True), Crash(alone=True)).exceeds_limit(TASK)


# Guards against LOST (issue 56): lapsed runs that are taken for crashes fail a job.
@pytest.mark.parametrize("over", [False, True])
def test_losses_never_fail_a_job(over: bool) -> None:
    history = CrashHistory()
    for number in range(9):
        history.add_loss(TASK, f"i-{number}@1", Crash(alone=True))
        if over:
            history.mark_over(f"i-{number}@1")
    assert not history.exceeds_limit(TASK)
    assert history.withholds(TASK)


# Guards against LOST (issue 56): one proven crash among lapsed runs fails a job.
def test_one_crash_and_losses_do_not_fail_a_job() -> None:
    history = crashed(Crash(alone=True))
    for number in range(10, 14):
        history.add_loss(TASK, f"i-{number}@1", Crash(alone=True))
        history.mark_over(f"i-{number}@1")
    assert not history.exceeds_limit(TASK)
    assert history.withholds(TASK)


# Guards against BUDGET and LOST: what a successor takes over loses its meaning.
def test_a_successor_takes_over_what_is_known_of_a_loss() -> None:
    history = crashed(Crash(alone=True))
    history.add_loss(TASK, "i-8@1", Crash())
    history.mark_over("i-8@1")
    history.watch(TASK, "i-9@1", 5.0)
    successor = CrashHistory()
    successor.restore(history.rows([TASK]))
    assert list(successor.open_losses(TASK)) == ["i-9@1"]
    assert successor.lease_until("i-9@1") == 5.0
    assert successor.confirmed(TASK) == history.confirmed(TASK)
    assert successor.dismiss("i-8@1") == [TASK]


def test_a_crash_alone_is_proof_at_the_third() -> None:
    assert crashed(Crash(), Crash(), Crash(alone=True)).exceeds_limit(TASK)


def test_a_wide_job_fails_once_one_task_has_crashed_twice() -> None:
    history = crashed(Crash(alone=True), Crash(alone=True), task=OTHER)
    history.add_loss(TASK, "i-0@1", Crash(alone=True))
    for number in (7, 8):
        history.add_loss(TASK, f"i-{number}@1", Crash())
        history.confirm(f"i-{number}@1", Crash(alone=number == 8))
    assert history.exceeds_limit(TASK)


class CrashMachine(RuleBasedStateMachine):
    """Starts a deadly task under leaders that crash, discover late or store nothing.

    The first start is not stored in advance; each later one is, as in the dispatcher.
    A crash may be proven, or stay unproven.
    """

    def __init__(self) -> None:
        super().__init__()
        self.history = CrashHistory()
        self.stored = self.history.rows([TASK])
        self.starts = 0
        self.unseen: list[str] = []

    @property
    def given_up(self) -> bool:
        return self.history.exceeds_limit(TASK) or self.history.withholds(TASK)

    @precondition(lambda self: not self.given_up and not self.unseen)
    @rule()
    def start_and_crash(self) -> None:
        """Start the task; its server crashes, which nobody has seen yet."""
        lifetime = f"i-{self.starts}@1"
        self.starts += 1
        if self.starts > 1:
            self.history.watch(TASK, lifetime)
            self.stored = self.history.rows([TASK])
        self.unseen.append(lifetime)

    @precondition(lambda self: self.unseen)
    @rule(
        alone=st.booleans(),
        widespread=st.booleans(),
        saved=st.booleans(),
        proven=st.booleans(),
    )
    def see_crash(
        self, alone: bool, widespread: bool, saved: bool, proven: bool
    ) -> None:
        """Discover the crash; the write of it may get lost with the leader."""
        lifetime = self.unseen.pop()
        crash = Crash(alone and not widespread, widespread)
        self.history.add_loss(TASK, lifetime, crash)
        self._explain(lifetime, crash, proven)
        if saved:
            self.stored = self.history.rows([TASK])
        else:
            self.take_over(proven=proven)

    def _explain(self, lifetime: str, crash: Crash, proven: bool) -> None:
        if proven:
            self.history.confirm(lifetime, crash)
        else:
            self.history.mark_over(lifetime)

    @rule(proven=st.booleans())
    def take_over(self, proven: bool) -> None:
        """Let a successor continue with what is stored, and find out what ended."""
        self.unseen.clear()
        self.history = CrashHistory()
        self.history.restore(self.stored)
        for lifetime in list(self.history.losses):
            self._explain(lifetime, Crash(), proven)
        self.stored = self.history.rows([TASK])

    @invariant()
    def is_started_in_bounds(self) -> None:
        assert self.starts <= MAX_STARTS

    @invariant()
    def fails_for_two_proven_crashes_only(self) -> None:
        proven = len(self.history.confirmed(TASK))
        assert proven >= 2 or not self.history.exceeds_limit(TASK)


TestCrashMachine = CrashMachine.TestCase
TestCrashMachine.settings = settings(derandomize=True, deadline=None, max_examples=200)
