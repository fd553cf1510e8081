"""Kills a shard's owner and stops a gateway gracefully in a small real cluster.

The test waits for events instead of fixed times.  None of the time bounds of the
checkers apply here: keys and limits do not change, and no backend server leaves.
"""

import asyncio
import random
import subprocess
import sys
import time
from dataclasses import replace

import aiohttp
import pytest

from prove.administration import Administration
from prove.checkers import check_all
from prove.cluster import SICILIA_EST, TABLE_OFFSET, Cluster
from prove.failures import FailureContext, stop_gracefully
from prove.platform_control import PlatformControl
from prove.recorder import (
    Recorder,
    Target,
    record_executions,
    record_ledger,
    record_refusals,
)
from prove.run import record_capacities
from prove.traffic import SubmittedJob, Traffic, plan_wave
from prove.without import MECHANISMS

LAYOUT = replace(SICILIA_EST, entry_vms=1, workers=6, workers_per_rack=2, backends=6)
TEAMS = ("fuel-audits", "settlements")
REQUESTS = 30
SENDERS = 4
HANG_SECONDS = 150
POLL_SECONDS = 0.1


@pytest.fixture
async def cluster(tmp_path):
    cluster = Cluster(LAYOUT, tmp_path)
    try:
        yield cluster
    finally:
        await cluster.kill()


async def send_requests(traffic: Traffic) -> None:
    keys = list(traffic.keys())
    for index in range(REQUESTS):
        await traffic.send_request(keys[index % len(keys)])


def start_senders(traffic: Traffic) -> list[asyncio.Task]:
    return [asyncio.create_task(send_requests(traffic)) for _ in range(SENDERS)]


async def wait_finished(traffic: Traffic, jobs: list[SubmittedJob]) -> None:
    for job in jobs:
        target = Target("", traffic.targets[0].address)
        open_parts = None
        while open_parts != 0:
            open_parts = await traffic.open_parts(job, target)
            await asyncio.sleep(POLL_SECONDS)


async def test_a_killed_owner_and_a_graceful_stop_violate_no_invariant(cluster):
    async with asyncio.timeout(HANG_SECONDS), aiohttp.ClientSession() as session:
        rng = random.Random(1)
        recorder, control = Recorder(session), PlatformControl(cluster, session)
        history = recorder.history
        await cluster.start_platform()
        await control.load_vms()
        record_capacities(history, control)
        admin = await Administration.open(cluster.address(TABLE_OFFSET), history, rng)
        try:
            await admin.set_up(TEAMS)
        finally:
            await admin.close()
        await cluster.start_entry_vms()
        targets = [Target("", cluster.balancer)]
        targets += [Target(vm.name, vm.http) for vm in cluster.entry_vms.values()]
        service = LAYOUT.service
        traffic = Traffic(recorder, targets, service, lambda: admin.keys, rng)
        context = FailureContext(cluster, control, recorder, admin, rng)

        sending = start_senders(traffic)
        for key in admin.keys:
            for spec, finite in plan_wave(key.team, key.team):
                await traffic.submit(spec, key, finite=finite)
        owner = await context.random_owner()
        killed_at = time.monotonic()
        await owner.serving("gateway").kill()
        context.record_disturbance(owner.name, killed_at)
        # The jobs finish only if a successor takes the shard over.
        await wait_finished(traffic, [job for job in traffic.jobs if job.finite])
        sending += start_senders(traffic)
        await stop_gracefully(context, context.random_entry_vm())
        await asyncio.gather(*sending)
        await asyncio.gather(
            *(traffic.cancel(job) for job in traffic.jobs if not job.finite)
        )
        await wait_finished(traffic, traffic.jobs)

        record_executions(history, await control.executions())
        record_refusals(history, await control.backend_stats(), 0.0)
        record_ledger(history, await control.ledger())
        assert await cluster.stop() == [0]
    violations = check_all(history)
    assert not any(violations.values()), violations
    assert history.executions and history.runs and history.stops


@pytest.mark.parametrize("name", MECHANISMS)
def test_every_mechanism_can_be_disabled(name):
    command = [sys.executable, "-m", "prove.without", name, "cassiaweir", "--version"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stderr
