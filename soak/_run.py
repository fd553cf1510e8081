"""One run of the soak test.

Starts the processes, applies load and faults, heals the faults, waits for the accepted
jobs to end and checks the history.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from pathlib import Path

import aiohttp

from soak._callers import Caller, LongTaskCaller, OverloadCaller
from soak._chase import CHASES, chase_jobs
from soak._checks import check
from soak._faults import (
    FaultContext,
    evacuate_domains,
    heal,
    recut_servers,
    resize_server,
    run_series,
)
from soak._fronts import Front
from soak._platform import DOMAINS, SoakPlatform
from soak._records import OVERLOADED, History

FAULT_SERIES = 2
"""The number of series of faults that run concurrently."""

FINISH_TIMEOUT_S = 60.0
"""Every accepted job must have ended this long after the last late delivery."""

LATE_DELIVERY_S = 9.0
"""All delayed calls and writes have arrived this long after healing."""


WIDE_TASKS_PER_SERVER = 25
"""The tasks of the job that waits while a domain is evacuated after the faults.

A server runs four of them in 1.2 s, so that many are left after `LATE_DELIVERY_S`.
"""

WIDE_JOB_TIMEOUT_S = 20.0
"""That job must be accepted within this time, which includes the start of a front."""


@dataclass(frozen=True, slots=True)
class RunOptions:
    """The seed, the size, and the duration of the faults of a run."""

    seed: int
    seconds: float = 20.0
    fronts: int = 4
    servers: int = 6
    callers: int = 6


@dataclass(frozen=True, slots=True)
class Report:
    """The problems that a run found, and its numbers of jobs, starts and faults.

    `crossed_calls` counts the calls by path that another lifetime of a server carried
    out.
    """

    options: RunOptions
    problems: list[str]
    jobs: int
    accepted: int
    refused: int
    starts: int
    crossed_calls: dict[str, int]
    faults: list[str]


async def run(options: RunOptions, log_directory: Path) -> Report:
    """Perform one run; the processes log into the existing `log_directory`."""
    async with AsyncExitStack() as stack:
        platform = SoakPlatform(options.servers, options.seed)
        history = History(late_starts=platform.late_starts)
        await platform.open(stack)
        fronts = [
            Front(f"front-{number}", platform, log_directory, options.seed)
            for number in range(options.fronts)
        ]
        for front in fronts:
            await front.open(stack)
        await _start_all(fronts)
        context = FaultContext(platform, fronts, history, random.Random(options.seed))
        kinds = [Caller] * options.callers + [OverloadCaller] + [Caller] * CHASES
        kinds += [LongTaskCaller]
        callers = [
            kind(
                number,
                platform,
                fronts,
                history,
                _rng(options, f"caller-{number}"),
                _rng(options, f"deadly-{number}"),
            )
            for number, kind in enumerate(kinds)
        ]
        followed = callers[options.callers + 1 : -1]
        callers = [*callers[: options.callers + 1], callers[-1]]
        await _run_load_with_faults(options, context, callers, followed)
        await heal(context)
        await _evacuate_under_load(options, context, callers[0])
        await _wait_jobs_finished(history, callers[0])
        _record_exits(fronts, history)
        for server in platform.servers.values():
            server.apply_due_events()
        return _report(options, platform, history)


def _rng(options: RunOptions, purpose: str) -> random.Random:
    return random.Random(f"{options.seed}/{purpose}")


async def _start_all(fronts: list[Front]) -> None:
    await asyncio.gather(*(front.start() for front in fronts))
    async with aiohttp.ClientSession() as client:
        await asyncio.gather(*(front.wait_ready(client) for front in fronts))


async def _run_load_with_faults(
    options: RunOptions,
    context: FaultContext,
    callers: list[Caller],
    followed: list[Caller],
) -> None:
    stopped = asyncio.Event()
    load = [asyncio.create_task(caller.run(stopped)) for caller in callers]
    loop = asyncio.get_running_loop()
    deadline = loop.time() + options.seconds
    # The last faults take longer; work that came in until their end would take longer
    # than `_wait_jobs_finished` waits.
    loop.call_at(deadline, stopped.set)
    series = [
        FaultContext(
            context.platform,
            context.fronts,
            context.history,
            _rng(options, f"series-{number}"),
        )
        for number in range(FAULT_SERIES)
    ]
    recuts = replace(context, rng=_rng(options, "recuts"))
    rooms = replace(context, rng=_rng(options, "rooms"))
    evacuations = replace(context, rng=_rng(options, "evacuations"))
    chases = [
        (replace(context, rng=_rng(options, f"chase-{number}")), caller)
        for number, caller in enumerate(followed)
    ]
    await asyncio.gather(
        *(run_series(each, deadline) for each in series),
        run_series(rooms, deadline, [resize_server]),
        run_series(recuts, deadline, [recut_servers]),
        run_series(evacuations, deadline, [evacuate_domains]),
        *(chase_jobs(each, caller, deadline) for each, caller in chases),
    )
    await asyncio.gather(*load)


async def _evacuate_under_load(
    options: RunOptions, context: FaultContext, caller: Caller
) -> None:
    """Evacuate a domain until late deliveries have arrived, while many tasks wait."""
    domain = _rng(options, "last-evacuation").choice(DOMAINS)
    async with context.evacuated(domain) as evacuation:
        evacuation.work_waits = await caller.submit_wide(
            WIDE_TASKS_PER_SERVER * options.servers, WIDE_JOB_TIMEOUT_S
        )
        if not evacuation.work_waits:
            context.history.bad_exits.append("no job accepted after the healing")
        await asyncio.sleep(LATE_DELIVERY_S)


async def _wait_jobs_finished(history: History, caller: Caller) -> None:
    """Wait until all accepted jobs have ended; record those that do not in time."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + FINISH_TIMEOUT_S
    for job_id, record in list(history.jobs.items()):
        if record.accepted_at is None:
            continue
        remaining_s = max(deadline - loop.time(), 1.0)
        if not await caller.wait_finished(job_id, remaining_s):
            history.unfinished_jobs.append(job_id)


def _record_exits(fronts: list[Front], history: History) -> None:
    for front in fronts:
        if not front.running:
            history.bad_exits.append(f"{front.name}: exited without a stop request")


def _report(options: RunOptions, platform: SoakPlatform, history: History) -> Report:
    return Report(
        options=options,
        problems=check(history, platform.history, platform.faults),
        jobs=len(history.jobs),
        accepted=sum(each.accepted_at is not None for each in history.jobs.values()),
        refused=sum(
            any(post.status == OVERLOADED for post in each.posts)
            for each in history.jobs.values()
        ),
        starts=len(platform.history),
        crossed_calls=dict(platform.crossed_calls),
        faults=[f"{each.name} {each.target}".strip() for each in history.faults],
    )
