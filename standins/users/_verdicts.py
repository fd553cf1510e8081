"""Judges whether the jobs that are shown as failed may have been given up."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cassiaweir.dispatch import EndKind
from cassiaweir.jobs import JobSpec, JobState
from standins.users._site import RunRecord, Site

CRASHES_TO_GIVE_UP = 2
"""Servers that crashed under a task, after which its job may be shown as failed."""


@dataclass(frozen=True, slots=True)
class UnjustifiedFailure:
    """A job that is shown as failed without cause.

    `task` is its most tried task, and `ends` how the runs of that task ended.
    """

    job_id: str
    task: str
    ends: tuple[str, ...]


def unjustified_failures(
    site: Site, job_state: Callable[[str], JobState | None]
) -> list[UnjustifiedFailure]:
    """Return the jobs of a site that `job_state` shows as failed without cause."""
    for server in site.servers.values():
        server.apply_due_events()
    by_job = defaultdict(list)
    for run in site.history:
        by_job[run.task.partition(".")[0]].append(run)
    return [
        describe_failure(job_id, by_job[job_id])
        for job_id, spec in site.specs.items()
        if job_state(job_id) is JobState.FAILED
        and not may_be_given_up(spec, by_job[job_id])
    ]


def may_be_given_up(spec: JobSpec, runs: Sequence[RunRecord]) -> bool:
    """Return whether the runs of a job are a cause to show it as failed.

    Either a task, or a gang by its run numbers, has used up its attempts, or enough
    servers crashed while a run of one task was there.  Ends `failed` of long-running
    tasks are no cause.
    """
    crashes = Counter(run.task for run in runs if _has_crashed(run))
    failed = defaultdict(set)
    for run in runs:
        owner, _, index = run.task.rpartition(".")
        step = spec.steps[int(owner.rpartition(".")[2])]
        if run.how is EndKind.FAILED and not step.long_running:
            failed[owner if step.gang else f"{owner}.{index}"].add(run.number)
    attempts = max((len(numbers) for numbers in failed.values()), default=0)
    return (
        attempts >= spec.queue.most_failures
        or max(crashes.values(), default=0) >= CRASHES_TO_GIVE_UP
    )


def describe_failure(job_id: str, runs: Sequence[RunRecord]) -> UnjustifiedFailure:
    """Return the failure of a job with how the runs of its most tried task ended."""
    tried = Counter(run.task for run in runs).most_common(1)
    task = tried[0][0] if tried else ""
    ends = tuple(_name_end(run) for run in runs if run.task == task)
    return UnjustifiedFailure(job_id, task, ends)


def _has_crashed(run: RunRecord) -> bool:
    return run.ended_at is not None and run.how is None


def _name_end(run: RunRecord) -> str:
    if run.how is not None:
        return run.how.value
    return "running" if run.ended_at is None else "server crashed"
