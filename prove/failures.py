"""The failures of a run: each brings something about, holds it and ends it."""

from __future__ import annotations

import asyncio
import math
import random
import re
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import aiohttp
import grpc

from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from cassiaweir.types import VmRole
from prove.administration import Administration, TeamKey
from prove.checkers import KEY_BOUND_SECONDS
from prove.cluster import Cluster, EntryVmProcesses, wait_for_ok
from prove.history import Disturbance, GracefulStop, History, Leaving, Takeover
from prove.platform_control import ALL_SERVICES, PlatformControl
from prove.recorder import Recorder, Request, Target
from standins._backend import BackendFaults

PAST_THE_LEASE_SECONDS = 9.0
PAST_THE_TAKEOVER_SECONDS = 25.0
KEY_KNOWN_SECONDS = 2.0
LATE_CALLS = 5
CUT_SECONDS = 9.0
OUTAGE_SECONDS = 6.0
WORKERS_HANG_SECONDS = 14.0
LIST_LAG_SECONDS = 10.0
FAULTY_ANSWERS = 30
TWICE_ANSWERS = 3
LONGEST_TAKEOVER_SECONDS = 60.0
LEDGER_POLL_SECONDS = 0.25
IN_FLIGHT_SECONDS = 0.5
STATE_SECONDS = 5.0
OWNER_PATTERN = re.compile(r"owner=([^. ]+)")
TABLE_SERVICES = ("table", "objects", "vms")


@dataclass(slots=True)
class Scene:
    """What failures act on; `rng` chooses their victims."""

    cluster: Cluster
    control: PlatformControl
    recorder: Recorder
    admin: Administration
    rng: random.Random

    @property
    def history(self) -> History:
        """What the run recorded up to now."""
        return self.recorder.history

    def any_vm(self) -> EntryVmProcesses:
        """Return an entry VM whose process runs."""
        running = [
            vm
            for vm in self.cluster.entry_vms.values()
            if vm.serving("gateway").running
        ]
        return self.rng.choice(running)

    async def any_owner(self) -> EntryVmProcesses:
        """Return an entry VM whose process owns a shard."""
        asked = self.any_vm()
        async with grpc.aio.insecure_channel(next(iter(asked.rpc.values()))) as channel:
            stub = cell_pb2_grpc.PeerStub(channel)
            request = cell_pb2.TextRequest(name="state")
            answer = await stub.Text(request, timeout=STATE_SECONDS)
        owners = sorted(set(OWNER_PATTERN.findall(answer.text)))
        return self.cluster.entry_vms[self.rng.choice(owners)]

    def any_name(self, role: VmRole) -> str:
        """Return a worker VM or a backend server."""
        return self.rng.choice(self.control.names(role))

    def any_domain(self) -> str:
        """Return a failure domain."""
        return self.rng.choice(list(self.cluster.layout.failure_domains))

    def vms_of(self, domain: str) -> list[str]:
        """Return the entry VMs of a failure domain."""
        return [
            vm.name
            for vm in self.cluster.entry_vms.values()
            if vm.failure_domain == domain
        ]

    def disturb(self, vm: str, began_at: float) -> None:
        """Record that a VM was disturbed until now."""
        self.history.disturbances.append(Disturbance(vm, began_at, time.monotonic()))


Failure = Callable[[Scene], Awaitable[None]]


async def kill_entry(scene: Scene) -> None:
    """Kill the process of an entry VM and start it again."""
    await _kill(scene, scene.any_vm())


async def kill_owner(scene: Scene) -> None:
    """Kill the process that owns a shard and start it again."""
    await _kill(scene, await scene.any_owner())


async def _kill(scene: Scene, vm: EntryVmProcesses) -> None:
    process = vm.serving("gateway")
    began_at = time.monotonic()
    await process.kill()
    await asyncio.sleep(OUTAGE_SECONDS)
    await process.start()
    await wait_for_ok(f"http://{vm.http}/ready")
    scene.disturb(vm.name, began_at)


async def kill_owner_for_good(scene: Scene) -> None:
    """Kill the owner of a shard, and measure how long until the shard starts tasks."""
    vm = await scene.any_owner()
    began_at = time.monotonic()
    await vm.serving("gateway").kill()
    workers = set(scene.control.names(VmRole.WORKER, vm.failure_domain))
    started_at = math.inf
    while math.isinf(started_at):
        if time.monotonic() > began_at + LONGEST_TAKEOVER_SECONDS:
            break
        await asyncio.sleep(LEDGER_POLL_SECONDS)
        started_at = min(
            (
                run.started_at
                for run in (await scene.control.ledger()).runs
                if run.worker in workers
                and run.started_at > began_at + IN_FLIGHT_SECONDS
            ),
            default=math.inf,
        )
    scene.disturb(vm.name, began_at)
    scene.history.takeovers.append(Takeover(vm.name, began_at, started_at))


async def kill_domain(scene: Scene) -> None:
    """Kill the processes of a whole failure domain and start them again."""
    vms = [scene.cluster.entry_vms[name] for name in scene.vms_of(scene.any_domain())]
    began_at = time.monotonic()
    await asyncio.gather(*(vm.serving("gateway").kill() for vm in vms))
    await asyncio.sleep(CUT_SECONDS)
    for vm in vms:
        await vm.serving("gateway").start()
    for vm in vms:
        await wait_for_ok(f"http://{vm.http}/ready")
        scene.disturb(vm.name, began_at)


async def freeze_entry(scene: Scene) -> None:
    """Freeze the process of an entry VM for as long as a lease and more."""
    await _freeze(scene, scene.any_vm(), PAST_THE_LEASE_SECONDS)


async def freeze_owner(scene: Scene) -> None:
    """Freeze the process that owns a shard until its successor runs the shard."""
    await _freeze(scene, await scene.any_owner(), PAST_THE_TAKEOVER_SECONDS)


async def withdraw_key_from_frozen(scene: Scene) -> None:
    """Withdraw a key while an entry VM is frozen, and use it there later.

    The calls come on connections that are open before, so that the VM reads them
    at once when it goes on.  It is cut off from the table then, so that its view
    stays old for a moment.
    """
    key = await scene.admin.grant(scene.admin.keys[0].team)
    await asyncio.sleep(KEY_KNOWN_SECONDS)
    vm = scene.any_vm()
    process = vm.serving("gateway")
    async with aiohttp.ClientSession() as session:
        caller = replace(scene.recorder, session=session)
        await _call_at_once(scene, caller, vm, key)
        began_at = time.monotonic()
        process.freeze()
        await scene.admin.withdraw(key)
        await asyncio.sleep(KEY_BOUND_SECONDS + 1)
        late = asyncio.create_task(_call_at_once(scene, caller, vm, key))
        await scene.control.cut([vm.name], TABLE_SERVICES)
        await asyncio.sleep(1)
        process.thaw()
        scene.disturb(vm.name, began_at)
        await late


async def _call_at_once(
    scene: Scene, caller: Recorder, vm: EntryVmProcesses, key: TeamKey
) -> None:
    """Send several requests with a key to one gateway at the same time."""
    target = Target(vm.name, vm.http)
    service = scene.cluster.layout.service
    requests = [
        Request(service, key.team, key.secret, f"at-once-{index}".encode())
        for index in range(LATE_CALLS)
    ]
    await asyncio.gather(*(caller.request(target, req) for req in requests))


async def _freeze(scene: Scene, vm: EntryVmProcesses, seconds: float) -> None:
    process = vm.serving("gateway")
    began_at = time.monotonic()
    process.freeze()
    await asyncio.sleep(seconds)
    process.thaw()
    scene.disturb(vm.name, began_at)


async def restart_entries(scene: Scene) -> None:
    """Stop all entry VMs gracefully and start them again, one after another."""
    for vm in scene.cluster.entry_vms.values():
        if vm.serving("gateway").running:
            await stop_gracefully(scene, vm)
            await vm.serving("gateway").start()
            await wait_for_ok(f"http://{vm.http}/ready")


async def stop_gracefully(scene: Scene, vm: EntryVmProcesses) -> None:
    """Stop the process of an entry VM as planned and record the stop."""
    began_at = time.monotonic()
    status = await vm.serving("gateway").stop()
    stop = GracefulStop(vm.name, began_at, time.monotonic(), status)
    scene.history.stops.append(stop)


async def cut_entry_from_table(scene: Scene) -> None:
    """Cut one entry VM off from the table alone."""
    await scene.control.cut([scene.any_vm().name], TABLE_SERVICES)
    await asyncio.sleep(CUT_SECONDS)


async def cut_domain_from_table(scene: Scene) -> None:
    """Cut a failure domain off from the platform's services."""
    await scene.control.cut(scene.vms_of(scene.any_domain()), TABLE_SERVICES)
    await asyncio.sleep(CUT_SECONDS)


async def cut_domain_from_all(scene: Scene) -> None:
    """Cut a failure domain off from the platform, the workers and the servers."""
    await scene.control.cut(scene.vms_of(scene.any_domain()), [ALL_SERVICES])
    await asyncio.sleep(CUT_SECONDS)


async def cut_entry_from_workers(scene: Scene) -> None:
    """Cut one entry VM off from all workers."""
    workers = scene.control.names(VmRole.WORKER)
    await scene.control.cut([scene.any_vm().name], workers)
    await asyncio.sleep(CUT_SECONDS)


async def cut_entry_from_backends(scene: Scene) -> None:
    """Cut one entry VM off from all backend servers."""
    backends = scene.control.names(VmRole.BACKEND)
    await scene.control.cut([scene.any_vm().name], backends)
    await asyncio.sleep(CUT_SECONDS)


async def cut_entry_one_way(scene: Scene) -> None:
    """Lose all answers of table and workers on the way to one entry VM."""
    services = [*TABLE_SERVICES, *scene.control.names(VmRole.WORKER)]
    await scene.control.cut([scene.any_vm().name], services, one_way=True)
    await asyncio.sleep(CUT_SECONDS)


async def table_down(scene: Scene) -> None:
    """Refuse all calls of the table."""
    await scene.control.table_faults(down=True)
    await asyncio.sleep(CUT_SECONDS)


async def table_slow(scene: Scene) -> None:
    """Let the table take long."""
    await scene.control.table_faults(slow_ms=400)
    await asyncio.sleep(CUT_SECONDS)


async def table_loses_answers(scene: Scene) -> None:
    """Apply commits and lose their answers."""
    await scene.control.table_faults(lose_answers=20)
    await asyncio.sleep(OUTAGE_SECONDS)


async def table_commits_late(scene: Scene) -> None:
    """Apply commits late, after the caller has given up."""
    await scene.control.table_faults(late_commits=12, late_ms=2500)
    await asyncio.sleep(OUTAGE_SECONDS)


async def list_lags(scene: Scene) -> None:
    """Let the list of VMs lag while a backend server leaves and a worker changes."""
    await scene.control.set_list_lag(LIST_LAG_SECONDS)
    await backend_leaves(scene)
    await scene.control.fail_worker(scene.any_name(VmRole.WORKER), replace=True)
    await asyncio.sleep(LIST_LAG_SECONDS)
    await scene.control.set_list_lag(1.0)


async def worker_dies(scene: Scene) -> None:
    """Let a worker die; it comes back as another incarnation."""
    name = scene.any_name(VmRole.WORKER)
    await scene.control.fail_worker(name, replace=False)
    await asyncio.sleep(CUT_SECONDS)
    await scene.control.fail_worker(name, replace=True)


async def worker_replaced(scene: Scene) -> None:
    """Put another incarnation in the place of a worker at once."""
    await scene.control.fail_worker(scene.any_name(VmRole.WORKER), replace=True)
    await asyncio.sleep(OUTAGE_SECONDS)


async def worker_fails_all(scene: Scene) -> None:
    """Let a worker fail everything that it starts."""
    name = scene.any_name(VmRole.WORKER)
    await scene.control.fail_all_tasks(name, True)
    await asyncio.sleep(CUT_SECONDS)
    await scene.control.fail_all_tasks(name, False)


async def workers_hang(scene: Scene) -> None:
    """Let half of the workers leave all calls unanswered, while their tasks run."""
    names = scene.control.names(VmRole.WORKER)
    await scene.control.hang(scene.rng.sample(names, len(names) // 2))
    await asyncio.sleep(WORKERS_HANG_SECONDS)


async def backend_leaves(scene: Scene) -> None:
    """Let a backend server leave, by its own signal and by the list."""
    name = scene.any_name(VmRole.BACKEND)
    await scene.control.backend_leaves(name)
    scene.history.leavings.append(Leaving(name, time.monotonic()))
    await scene.control.list_leaving(name)
    await asyncio.sleep(OUTAGE_SECONDS)


async def list_says_leaving(scene: Scene) -> None:
    """Let the list alone say that a backend server leaves."""
    name = scene.any_name(VmRole.BACKEND)
    await scene.control.list_leaving(name)
    scene.history.leavings.append(Leaving(name, time.monotonic()))
    await asyncio.sleep(OUTAGE_SECONDS)


async def backends_cut_answers(scene: Scene) -> None:
    """Let backend servers send half of their answers, or none."""
    await _spoil_answers(scene, BackendFaults(cut=FAULTY_ANSWERS, closed=10))


async def backends_answer_late(scene: Scene) -> None:
    """Let backend servers answer late."""
    await _spoil_answers(scene, BackendFaults(late=FAULTY_ANSWERS, late_ms=3000))


async def backends_answer_twice(scene: Scene) -> None:
    """Let backend servers send answers twice, at once and a little later."""
    faults = BackendFaults(twice=TWICE_ANSWERS, again=FAULTY_ANSWERS)
    await _spoil_answers(scene, faults)


async def _spoil_answers(scene: Scene, faults: BackendFaults) -> None:
    names = scene.control.names(VmRole.BACKEND)
    for name in scene.rng.sample(names, len(names) // 2):
        await scene.control.backend_answers(name, faults)
    await asyncio.sleep(OUTAGE_SECONDS)
    for name in names:
        await scene.control.backend_answers(name, BackendFaults())


FAILURES: dict[str, Failure] = {
    failure.__name__.replace("_", "-"): failure
    for failure in (
        kill_entry,
        kill_owner,
        kill_owner_for_good,
        kill_domain,
        freeze_entry,
        freeze_owner,
        withdraw_key_from_frozen,
        restart_entries,
        cut_entry_from_table,
        cut_domain_from_table,
        cut_domain_from_all,
        cut_entry_from_workers,
        cut_entry_from_backends,
        cut_entry_one_way,
        table_down,
        table_slow,
        table_loses_answers,
        table_commits_late,
        list_lags,
        worker_dies,
        worker_replaced,
        worker_fails_all,
        workers_hang,
        backend_leaves,
        list_says_leaving,
        backends_cut_answers,
        backends_answer_late,
        backends_answer_twice,
    )
}


def draw_failures(rng: random.Random) -> list[tuple[str, ...]]:
    """Return what a run brings about: one failure alone, then a pair."""
    names = list(FAILURES)
    alone, first, second = rng.sample(names, 3)
    return [(alone,), (first, second)]
