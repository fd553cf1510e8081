"""Chooses runs that make room for urgent tasks and lose little by it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from cassiaweir.dispatch._runs import Run, RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.jobs import Step
from cassiaweir.types import NO_RESOURCES, Resources

SHORTEST_RUN_S = 0.5
"""A run that began less than this ago is left alone."""

LATEST_PERCENT = 80.0
"""A run that has got so far ends soon by itself."""


def may_preempt(run: Run, now: float) -> bool:
    """Tell whether `run` may be stopped for an urgent task.

    Only runs that keep their work in a checkpoint are, and each task only once.
    """
    step = run.task.step
    spec = step.spec
    if run.state is not RunState.RUNNING or spec.gang or spec.long_running:
        return False
    if not spec.checkpoints or run.task.preempted:
        return False
    if step.job.spec.queue.priority == 0:
        return False
    young = now - run.placed_at < SHORTEST_RUN_S
    return not young and run.progress.percent < LATEST_PERCENT


def choose_victims(
    step: Step,
    servers: Iterable[Server],
    tickets: Mapping[str, str] | None,
    count: int,
    now: float,
    preempt: Callable[[Run, Step], None],
) -> None:
    """Preempt as few runs as make room for up to `count` tasks of `step`."""
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
    """Return the runs to stop on `server` for one more task, or nothing.

    What is being stopped already counts as room to come.
    """
    coming = NO_RESOURCES
    for run in server.runs.values():
        if run.state is RunState.STOPPING:
            coming = coming + run.demand
    room = server.free + coming
    if demand.fits(room):
        return []
    victims = []
    runs = sorted(server.runs.values(), key=lambda run: -run.demand.cpu_millis)
    for run in runs:
        if not may_preempt(run, now):
            continue
        victims.append(run)
        room = room + run.demand
        if demand.fits(room):
            return victims
    return []
