"""Chooses runs to preempt for urgent tasks, so that little work is lost."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from cassiaweir.dispatch._runs import Run, RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.jobs import Step
from cassiaweir.types import NO_RESOURCES, Resources

MIN_RUN_TIME_S = 0.5
"""A run that was placed less than this time ago is not preempted."""

MAX_PREEMPTIBLE_PERCENT = 80.0
"""A run with at least this progress is not preempted, as it will end soon."""


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
    tickets: Mapping[str, str] | None,
    count: int,
    now: float,
    preempt: Callable[[Run, Step], None],
) -> None:
    """Preempt runs on `servers` to make room for up to `count` tasks of `step`.

    Room is made for one task on each server.  `tickets` names the servers that the
    advice service allows; None means that no advice is needed.
    """
    demand = step.demand
    for server in servers:
        if count <= 0:
            return
        if tickets is not None and server.server_id not in tickets:
            continue
        victims = _victims_on(server, demand, now)
        for run in victims:
            run.task.preempted = True
            preempt(run, step)
        count -= bool(victims)


def _victims_on(server: Server, demand: Resources, now: float) -> list[Run]:
    """Return the runs to stop on `server` to make room for one task of `demand`.

    The list is empty if the task will fit without that, as what stopping runs take
    counts as free, and also if stopping runs does not make enough room.
    """
    stopping = NO_RESOURCES
    for run in server.runs.values():
        if run.state is RunState.STOPPING:
            stopping = stopping + run.demand
    room = server.free + stopping
    if demand.fits(room):
        return []
    victims = []
    # The largest runs first, so that few are stopped.
    runs = sorted(server.runs.values(), key=lambda run: -run.demand.cpu_millis)
    for run in runs:
        if not may_preempt(run, now):
            continue
        victims.append(run)
        room = room + run.demand
        if demand.fits(room):
            return victims
    return []
