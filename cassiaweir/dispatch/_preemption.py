"""Chooses runs to preempt for urgent tasks, so that little work is lost."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from cassiaweir.dispatch._placement import fitting_tasks
from cassiaweir.dispatch._runs import Run, RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.jobs import Step
from cassiaweir.types import NO_RESOURCES, Resources

MIN_RUN_TIME_S = 0.5
"""A run that was placed less than this time ago is not preempted."""

MAX_PREEMPTIBLE_PERCENT = 80.0
"""A run with at least this progress is not preempted, as it will end soon."""


RESUME_COST_S = 0.5
"""Work that preemption discards at most: a server saves a run when it stops it."""


class _Victims(NamedTuple):
    """Runs of one server to stop, and the core-seconds of work that this discards.

    Then there is room for `tasks` urgent tasks.
    """

    loss: float
    server: Server
    runs: list[Run]
    tasks: int

    @property
    def loss_per_task(self) -> float:
        """The core-seconds discarded for each urgent task."""
        return self.loss / self.tasks


def may_preempt(run: Run, now: float) -> bool:
    """Return whether `run` may be stopped for an urgent task.

    Only runs that save their work in checkpoints may be, and no task is preempted
    twice.
    """
    step = run.task.step
    spec = step.spec
    if run.state is not RunState.RUNNING or spec.gang or spec.long_running:
        return False
    if not spec.checkpoints or run.task.preempted:
        return False
    if step.job.spec.queue.priority == 0:
        return False
    too_young = now - run.placed_at < MIN_RUN_TIME_S
    return not too_young and run.progress.percent < MAX_PREEMPTIBLE_PERCENT


def preempt_for_step(
    step: Step,
    servers: Iterable[Server],
    count: int,
    now: float,
    preempt: Callable[[Run, Step], None],
    *,
    duration_s: float,
    promised: dict[str, Resources],
) -> None:
    """Preempt runs on `servers` to make room for up to `count` tasks of `step`.

    Room is made first where the least work is discarded for each task, and only where
    that is less than the work of the tasks, each of which takes `duration_s`.
    `promised` is the room of stopping runs that was counted for
    other steps in the same placement round, by server; that for `step` is added.
    """
    full = []
    for server in servers:
        coming = _promise_stopping_room(server, step.demand, count, promised)
        count -= coming
        if not coming:
            full.append(server)
    if count <= 0:
        return
    found = []
    for server in full:
        victims = _victims_on(server, step.demand, count, now, promised)
        if victims is not None:
            found.append(victims)
    found.sort(key=lambda each: each.loss_per_task)
    gain = step.demand.cpu_millis / 1_000 * duration_s
    for victims in found:
        tasks = min(victims.tasks, count)
        if tasks <= 0:
            return
        if victims.loss >= gain * tasks:
            continue
        count -= tasks
        _promise(victims.server, step.demand * tasks, promised)
        for run in victims.runs:
            run.task.preempted = True
            preempt(run, step)


def _promise_stopping_room(
    server: Server, demand: Resources, count: int, promised: dict[str, Resources]
) -> int:
    """Return how many tasks of `demand` fit once the stopping runs have ended.

    There are none if no run is being stopped.  Their room is added to `promised`.
    """
    if all(run.state is not RunState.STOPPING for run in server.runs.values()):
        return 0
    coming = fitting_tasks(_room(server, promised), demand, max(count, 0))
    if coming:
        _promise(server, demand * coming, promised)
    return coming


def _promise(server: Server, room: Resources, promised: dict[str, Resources]) -> None:
    server_id = server.server_id
    promised[server_id] = promised.get(server_id, NO_RESOURCES) + room


def _room(server: Server, promised: Mapping[str, Resources]) -> Resources:
    """Return what is free once stopping runs have ended and that is not promised."""
    room = server.free - promised.get(server.server_id, NO_RESOURCES)
    for run in server.runs.values():
        if run.state is RunState.STOPPING:
            room = room + run.demand
    return room


def _victims_on(
    server: Server,
    demand: Resources,
    count: int,
    now: float,
    promised: Mapping[str, Resources],
) -> _Victims | None:
    """Return the runs to stop for one task of `demand`, so that little work is lost.

    Their room may be enough for more tasks, at most `count`.

    Return None if the task fits without that, or if stopping runs does not make enough
    room.
    """
    room = _room(server, promised)
    if demand.fits(room):
        return None
    runs = [run for run in server.runs.values() if may_preempt(run, now)]
    runs.sort(key=lambda run: _loss(run, now))
    chosen: list[Run] = []
    enough = room
    for run in runs:
        if demand.fits(enough):
            break
        chosen.append(run)
        enough = enough + run.demand
    if not demand.fits(enough):
        return None
    # The last runs discard the most; earlier ones may not be needed beside them.
    for run in reversed(chosen[:-1]):
        if demand.fits(enough - run.demand):
            chosen.remove(run)
            enough = enough - run.demand
    options = [chosen, *([run] for run in runs if demand.fits(room + run.demand))]
    return min(
        (_victims(server, option, demand, room, count, now) for option in options),
        key=lambda each: (each.loss_per_task, len(each.runs)),
    )


def _victims(
    server: Server,
    runs: list[Run],
    demand: Resources,
    room: Resources,
    count: int,
    now: float,
) -> _Victims:
    for run in runs:
        room = room + run.demand
    loss = sum(_loss(run, now) for run in runs)
    return _Victims(loss, server, runs, fitting_tasks(room, demand, count))


def _loss(run: Run, now: float) -> float:
    """Return the core-seconds that are discarded if `run` is preempted.

    Only runs with checkpoints are, and a stop writes one; stopping and resuming take
    `RESUME_COST_S`.
    """
    cost = RESUME_COST_S * run.demand.cpu_millis / 1_000
    return min(run.unsaved_core_s(now), cost)
