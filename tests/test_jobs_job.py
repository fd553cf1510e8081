"""Tests of `cassiaweir.jobs`: the effect of runs' ends, and stored progress."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cassiaweir.exceptions import InvalidInputError
from cassiaweir.jobs import (
    Job,
    JobSpec,
    JobState,
    StepSpec,
    TaskState,
    apply_progress,
    check_steps,
    encode_chunk,
)
from cassiaweir.jobs._job import TASKS_PER_CHUNK
from tests.site_fakes import QUEUE


def spec_of(*steps: StepSpec, times: int = 0) -> JobSpec:
    return JobSpec(
        job_id="00000000000000aa",
        queue=QUEUE,
        customer="agency",
        task_spec="x",
        steps=steps,
        submitted_at=0.0,
        times=times,
        interval_s=10.0,
    )


def job_of(*steps: StepSpec, times: int = 0) -> Job:
    return Job(spec_of(*steps, times=times), 1, 3)


def test_a_stored_job_decodes_to_an_equal_one():
    spec = spec_of(StepSpec(count=2, after=(), gang=True, label="a"))
    assert JobSpec.decode(spec.encode()) == spec


def test_a_step_starts_after_all_tasks_of_the_steps_it_depends_on():
    job = job_of(StepSpec(count=2), StepSpec(count=1, after=(0,)))
    first, second = job.steps[0, 0], job.steps[0, 1]
    assert list(job.startable_steps()) == [first]
    job.finish_task(first.tasks[0])
    assert second not in list(job.startable_steps())
    job.finish_task(first.tasks[1])
    assert list(job.startable_steps()) == [second]


# Guards against rounds of placing whose time grows with the square of the steps.
def test_a_step_that_names_a_dependency_twice_starts_after_it():
    job = job_of(
        StepSpec(count=1), StepSpec(count=1), StepSpec(count=1, after=(0, 1, 0))
    )
    first, second, last = (job.steps[0, number] for number in range(3))
    assert last.blockers == 2
    assert job.finish_task(first.tasks[0])
    assert not job.finish_task(first.tasks[0])
    assert not job.may_start(last)
    assert job.finish_task(second.tasks[0])
    assert job.may_start(last)


def test_success_of_one_gang_member_completes_the_gang():
    job = job_of(StepSpec(count=3, gang=True))
    assert job.finish_task(job.steps[0, 0].tasks[1])
    assert job.state is JobState.DONE


def test_a_gang_failure_reported_by_several_members_counts_once():
    job = job_of(StepSpec(count=3, gang=True))
    tasks = job.steps[0, 0].tasks
    assert job.record_run_failure(tasks[0], 1)
    assert not job.record_run_failure(tasks[1], 1)
    assert job.state is JobState.QUEUED


def test_a_failure_of_an_earlier_run_counts_when_reported_late():
    """Reports arrive in the order in which servers are reached, not in that of runs."""
    job = job_of(StepSpec(count=1))
    task = job.steps[0, 0].tasks[0]
    assert job.record_run_failure(task, 2)
    assert job.record_run_failure(task, 1)
    assert job.record_run_failure(task, 3)
    assert job.state is JobState.FAILED


def test_long_running_tasks_are_never_done_and_never_fail_their_job():
    job = job_of(StepSpec(count=1, long_running=True))
    task = job.steps[0, 0].tasks[0]
    for run in range(1, 6):
        task.state = TaskState.PLACED
        job.record_run_failure(task, run)
        assert not job.finish_task(task)
        assert task.state is TaskState.PLACED
        job.mark_waiting(task)
        assert task.state is TaskState.WAITING
    assert not job.ended


def test_a_recurring_job_ends_with_its_last_occurrence():
    job = job_of(StepSpec(count=1), times=2)
    assert not job.steps
    job.finish_task(job.open_occurrence()[0].tasks[0])
    assert not job.ended
    job.finish_task(job.open_occurrence()[0].tasks[0])
    assert job.state is JobState.DONE


@pytest.mark.parametrize("name", ["00000000000000aa.0.0.9", "x", "a.b.c.d", "a.0.7.0"])
def test_a_name_that_is_no_task_of_the_job_is_not_found(name: str):
    assert job_of(StepSpec(count=1)).find_task(name) is None


@pytest.mark.parametrize(
    "steps",
    [
        (),
        (StepSpec(count=0),),
        (StepSpec(count=1, after=(0,)),),
        (StepSpec(count=1, cpu_millis=-1),),
    ],
)
def test_invalid_steps_are_refused(steps: tuple[StepSpec, ...]):
    with pytest.raises(InvalidInputError):
        check_steps(steps)


INDEXES = st.sampled_from([0, 1, 2, TASKS_PER_CHUNK, TASKS_PER_CHUNK + 1])


class ProgressMachine(RuleBasedStateMachine):
    """A job rebuilt from its stored progress has the same tasks done and failures.

    Only rows of chunks that the job names as unsaved are written.  The first step has
    tasks in two chunks.
    """

    def __init__(self) -> None:
        super().__init__()
        self.steps = (
            StepSpec(count=TASKS_PER_CHUNK + 2),
            StepSpec(count=2, gang=True, after=(0,)),
            StepSpec(count=1, after=(1,)),
        )
        self.job = Job(spec_of(*self.steps), 1, 3)
        self.rows: dict[tuple[int, int], bytes] = {}

    def pick(self, number: int, index: int):
        step = self.job.steps[0, number]
        return step.tasks[index % len(step.tasks)]

    @precondition(lambda self: not self.job.ended)
    @rule()
    def finish_all_but_the_last(self) -> None:
        for task in self.job.steps[0, 0].tasks[:-1]:
            self.job.finish_task(task)

    @precondition(lambda self: not self.job.ended)
    @rule(number=st.integers(0, 2), index=INDEXES)
    def finish(self, number: int, index: int) -> None:
        task = self.pick(number, index)
        if self.job.may_start(task.step):
            self.job.finish_task(task)

    @precondition(lambda self: not self.job.ended)
    @rule(number=st.integers(0, 2), index=INDEXES, run=st.integers(1, 3))
    def fail(self, number: int, index: int, run: int) -> None:
        task = self.pick(number, index)
        if self.job.may_start(task.step) and task.state is not TaskState.DONE:
            self.job.record_run_failure(task, run)

    @rule(
        number=st.integers(0, 2),
        index=INDEXES,
        run=st.integers(1, 3),
        text=st.text(max_size=4),
    )
    def checkpoint(self, number: int, index: int, run: int, text: str) -> None:
        task = self.pick(number, index)
        if task.state is not TaskState.DONE:
            task.step.attempts_of(task).record_checkpoint(run, text)

    @invariant()
    def rebuilt_job_is_equal(self) -> None:
        if self.job.ended:
            return
        for chunk in self.job.unsaved_chunks:
            self.rows[chunk] = encode_chunk(self.job, chunk)
        self.job.unsaved_chunks.clear()
        rebuilt_job = Job(spec_of(*self.steps), 1, 3)
        apply_progress(rebuilt_job, list(self.rows.values()))
        for key, step in self.job.steps.items():
            rebuilt = rebuilt_job.steps[key]
            assert rebuilt.done_count == step.done_count
            assert rebuilt.failed_runs == (set() if step.complete else step.failed_runs)
            for task, rebuilt_task in zip(step.tasks, rebuilt.tasks, strict=True):
                if task.state is TaskState.DONE:
                    continue
                assert rebuilt_task.failed_runs == task.failed_runs

    @invariant()
    def steps_are_done_in_order(self) -> None:
        for step in self.job.steps.values():
            if step.done_count:
                assert self.job.may_start(step)


TestProgressMachine = ProgressMachine.TestCase
