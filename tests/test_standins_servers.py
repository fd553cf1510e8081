"""Tests of the simulated backend servers in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from cassiaweir.dispatch import EndKind, StartOrder
from cassiaweir.jobs import JobSpec, StepSpec
from standins.users import FakeServer, RunRecord, Site
from tests.site_fakes import QUEUE
from tests.virtual_time import run_virtual

JOB = "000000000000000a"
LEASE_S = 2.0


def start(site: Site, seconds: float) -> FakeServer:
    """Start a task of some seconds on a server, under a lease of `LEASE_S`."""
    spec = f"{seconds}/done"
    site.specs[JOB] = JobSpec(JOB, QUEUE, "agency", spec, (StepSpec(1, 500),), 0.0)
    server = site.servers["i-0"]
    until_ms = server.clock_ms() + round(LEASE_S * 1_000)
    server.start(StartOrder(f"{JOB}.0.0.0", 1, spec, until_ms, 1))
    return server


def only_run(seconds: float, act: Callable[[FakeServer], None]) -> RunRecord:
    """Return the record of a run whose server is next called after a minute."""

    async def body() -> RunRecord:
        site = Site(servers=1)
        server = start(site, seconds)
        await asyncio.sleep(60)
        act(server)
        (run,) = site.history
        return run

    found: RunRecord = run_virtual(body)
    return found


# Guards against runs that are judged by the time at which their end was noticed: nobody
# calls a server that is cut off.
@pytest.mark.parametrize("act", [FakeServer.apply_due_events, FakeServer.crash])
def test_a_run_lapses_when_its_lease_ends_though_nobody_calls(
    act: Callable[[FakeServer], None],
) -> None:
    run = only_run(10.0, act)
    assert run.how is EndKind.LEASE_EXPIRED
    assert run.ended_at == pytest.approx(LEASE_S, abs=0.001)


# Guards against the same for a run that has done its work before its lease ends.
def test_a_run_that_is_done_before_its_lease_ends_does_not_lapse() -> None:
    run = only_run(1.0, FakeServer.crash)
    assert run.how is EndKind.DONE
    assert run.ended_at == pytest.approx(1.0, abs=0.001)


# Guards against crashes that are recorded as another end.
def test_a_run_under_a_lease_ends_with_the_crash_of_its_server() -> None:
    async def body() -> RunRecord:
        site = Site(servers=1)
        server = start(site, 10.0)
        await asyncio.sleep(1)
        server.crash()
        server.restart()
        await asyncio.sleep(60)
        server.apply_due_events()
        (run,) = site.history
        return run

    run = run_virtual(body)
    assert (run.how, run.ended_at) == (None, 1.0)
