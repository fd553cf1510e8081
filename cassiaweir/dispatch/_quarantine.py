"""Keeps tasks that may crash their server apart from others until they are cleared."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from cassiaweir.dispatch._placement import Candidate, is_avoided
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._task_selection import TaskSelection
from cassiaweir.jobs import Isolation, Step, Task

MAX_SHARE = 0.125
"""Share of the servers that suspected jobs may have for themselves, at least one."""

MAX_EMPTY_SHARE = 0.25
"""The same where no other task has to wait for the next server to be emptied."""

MAX_WAIT_S = 10.0
"""A task that finds no server for itself within this time is only kept apart."""


@dataclass(frozen=True, slots=True)
class TaskGroup:
    """Waiting tasks of a step that are placed in the same way."""

    isolation: Isolation
    tasks: TaskSelection


class Quarantine:
    """The servers that are set aside for jobs with suspected tasks.

    A server that is set aside gets no other tasks, and the suspected ones once it is
    empty.
    """

    def __init__(self) -> None:
        self._set_aside: dict[str, str] = {}
        self._waiting_since: dict[str, float] = {}
        self._in_use = False

    def begin_round(self, jobs: Collection[str], servers: Iterable[Server]) -> None:
        """Release the servers set aside for all jobs but those with waiting tasks."""
        self._set_aside = {
            server_id: job_id
            for server_id, job_id in self._set_aside.items()
            if job_id in jobs
        }
        for job_id in self._waiting_since.keys() - set(jobs):
            del self._waiting_since[job_id]
        suspected = any(server.suspects for server in servers)
        self._in_use = suspected or bool(self._set_aside)

    def groups(self, step: Step, tasks: TaskSelection, now: float) -> list[TaskGroup]:
        """Divide waiting tasks by what may run beside them; a gang stays together."""
        history = step.job.crashes
        if not history:
            return [TaskGroup(Isolation.NONE, tasks)]
        suspects = history.suspects(f"{step.name}.")
        if step.spec.gang:
            isolation = history.isolation(suspects)
            return [TaskGroup(self._effective(step, isolation, now), tasks)]
        found: dict[Isolation, list[Task]] = {}
        for name in suspects:
            task = step.job.find_task(name)
            isolation = history.isolation([name])
            if task is not None and task.index in tasks and isolation:
                found.setdefault(self._effective(step, isolation, now), []).append(task)
        if Isolation.ALONE not in found:
            self._waiting_since.pop(step.job.job_id, None)
        isolated = {task.index for group in found.values() for task in group}
        others = tasks.excluding(frozenset(isolated))
        groups = [TaskGroup(Isolation.NONE, others)] if len(others) else []
        for isolation in sorted(found):
            by_index = sorted(found[isolation], key=lambda task: task.index)
            groups.append(TaskGroup(isolation, TaskSelection(step, only=by_index)))
        return groups

    def _effective(self, step: Step, isolation: Isolation, now: float) -> Isolation:
        if isolation is not Isolation.ALONE:
            return isolation
        since = self._waiting_since.setdefault(step.job.job_id, now)
        return Isolation.APART if now - since > MAX_WAIT_S else Isolation.ALONE

    def started(self, job_id: str) -> None:
        """Note that tasks of a job were placed on a server of their own."""
        self._waiting_since.pop(job_id, None)

    def usable(
        self, step: Step, isolation: Isolation, servers: Sequence[Server]
    ) -> Sequence[Server]:
        """Return those of `servers` where tasks of a step may be placed."""
        if not isolation and not self._in_use:
            return servers
        job_id = step.job.job_id
        if isolation is Isolation.ALONE:
            return [
                server
                for server in servers
                if self._set_aside.get(server.server_id) == job_id
                and server.hosts_only(job_id)
            ]
        return [
            server
            for server in servers
            if server.server_id not in self._set_aside
            and not server.isolated_job
            and (not isolation or _suspects_only(server, job_id))
        ]

    def set_aside(
        self,
        step: Step,
        tasks: int,
        candidates: Sequence[Candidate],
        servers: Sequence[Server],
    ) -> None:
        """Set servers aside for the suspected `tasks` of a step.

        `candidates` are the servers with room for the step once others have ended
        there, and `servers` all that are in use.  One server is enough, but for a gang,
        which needs room for all.
        """
        job_id = step.job.job_id
        present = {each.server.server_id: each for each in candidates}
        self._set_aside = {
            server_id: owner
            for server_id, owner in self._set_aside.items()
            if owner != job_id or server_id in present
        }
        mine = [each for each in self._set_aside if self._set_aside[each] == job_id]
        room = sum(present[each].slots for each in mine)
        needed = tasks if step.spec.gang else 1
        if room >= needed:
            return
        free = [
            each
            for each in candidates
            if each.server.server_id not in self._set_aside
            and each.server.isolated_job in ("", job_id)
        ]
        free.sort(key=lambda each: _clearing_key(step, each))
        if not free or not self._may_take(free[0].server, job_id, servers):
            return
        chosen = []
        for candidate in free:
            if room >= needed:
                break
            chosen.append(candidate.server.server_id)
            room += candidate.slots
        if room >= needed:
            self._in_use = True
            self._set_aside.update(dict.fromkeys(chosen, job_id))

    def _may_take(self, server: Server, job_id: str, servers: Sequence[Server]) -> bool:
        """Return whether `server` may be kept for a job, beside those of others."""
        taken = {each for each, owner in self._set_aside.items() if owner != job_id}
        taken |= {
            each.server_id
            for each in servers
            if each.isolated_job and each.isolated_job != job_id
        }
        share = MAX_SHARE if server.runs else MAX_EMPTY_SHARE
        return len(taken) < max(1, int(len(servers) * share))


def _suspects_only(server: Server, job_id: str) -> bool:
    """Return whether no run of another job on a server is suspected."""
    return all(run.job_id == job_id for run in server.suspects.values())


def _clearing_key(step: Step, candidate: Candidate) -> tuple[bool, bool, int, int]:
    """Return the sort key of a server; those that are empty soon come first."""
    server = candidate.server
    runs = server.runs.values()
    lasting = any(run.task.step.spec.long_running for run in runs)
    return (is_avoided(step, server), lasting, len(runs), -candidate.slots)
