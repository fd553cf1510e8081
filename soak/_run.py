"""One run of the soak: start, load and faults, heal, wait, check."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from soak._callers import Caller
from soak._checks import check
from soak._faults import Scene, heal, run_series
from soak._fronts import Front
from soak._records import History
from soak._world import World

SERIES = 2
"""So many series of faults run at the same time."""

SETTLE_LIMIT_S = 60.0
"""Every accepted job has ended this long after healing."""

LATE_ORDERS_S = 7.0
"""The last late orders and writes have come by then."""


@dataclass(frozen=True, slots=True)
class Plan:
    """How large a run is and how long faults are brought about."""

    seed: int
    seconds: float = 20.0
    fronts: int = 4
    servers: int = 6
    callers: int = 6


@dataclass(frozen=True, slots=True)
class Report:
    """What a run found, and how much it did."""

    plan: Plan
    problems: list[str]
    jobs: int
    accepted: int
    starts: int
    faults: list[str]


async def run(plan: Plan, folder: Path) -> Report:
    """Play one run; the logs of its processes go to `folder`, which exists."""
    history = History()
    async with AsyncExitStack() as stack:
        world = World(plan.servers, plan.seed)
        await world.open(stack)
        fronts = [
            Front(f"front-{number}", world, folder, plan.seed)
            for number in range(plan.fronts)
        ]
        for front in fronts:
            await front.open(stack)
        await _start_all(fronts)
        scene = Scene(world, fronts, history, random.Random(plan.seed))
        callers = [
            Caller(number, world, fronts, history, _rng(plan, f"caller-{number}"))
            for number in range(plan.callers)
        ]
        await _load_and_faults(plan, scene, callers)
        await heal(scene)
        await _settle(history, callers[0])
        _note_exits(fronts, history)
        for server in world.servers.values():
            server.apply_due_events()
        return _report(plan, world, history)


def _rng(plan: Plan, purpose: str) -> random.Random:
    return random.Random(f"{plan.seed}/{purpose}")


async def _start_all(fronts: list[Front]) -> None:
    await asyncio.gather(*(front.start() for front in fronts))
    async with aiohttp.ClientSession() as client:
        await asyncio.gather(*(front.wait_ready(client) for front in fronts))


async def _load_and_faults(plan: Plan, scene: Scene, callers: list[Caller]) -> None:
    ended = asyncio.Event()
    load = [asyncio.create_task(caller.run(ended)) for caller in callers]
    ends_at = asyncio.get_running_loop().time() + plan.seconds
    series = [
        Scene(scene.world, scene.fronts, scene.history, _rng(plan, f"series-{number}"))
        for number in range(SERIES)
    ]
    await asyncio.gather(*(run_series(each, ends_at) for each in series))
    ended.set()
    await asyncio.gather(*load)


async def _settle(history: History, caller: Caller) -> None:
    """Wait until all accepted jobs have ended; note those that have not."""
    await asyncio.sleep(LATE_ORDERS_S)
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + SETTLE_LIMIT_S
    for job_id, record in list(history.jobs.items()):
        if record.accepted_at is None:
            continue
        left = max(ends_at - loop.time(), 1.0)
        if not await caller.finish(job_id, left):
            history.unsettled.append(job_id)


def _note_exits(fronts: list[Front], history: History) -> None:
    for front in fronts:
        if not front.running:
            history.exits.append(f"{front.name}: ended by itself")


def _report(plan: Plan, world: World, history: History) -> Report:
    return Report(
        plan=plan,
        problems=check(history, world.history, world.faults),
        jobs=len(history.jobs),
        accepted=sum(each.accepted_at is not None for each in history.jobs.values()),
        starts=len(world.history),
        faults=[f"{each.name} {each.target}".strip() for each in history.faults],
    )
