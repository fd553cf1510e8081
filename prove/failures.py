"""The failures that a run can inject.

Each function injects one failure and waits for its duration.  Cuts and faults of the
platform's services are ended by `PlatformControl.heal`, which the run calls after it;
a killed owner and a leaving backend server do not return.
"""

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
from prove.checkers import KEY_WITHDRAWAL_BOUND_SECONDS
from prove.cluster import Cluster, EntryVmProcesses, wait_for_ok
from prove.history import Disturbance, GracefulStop, History, Leaving, Takeover
from prove.platform_control import ALL_SERVICES, PlatformControl
from prove.recorder import Recorder, Request, Target
from standins._backend import BackendFaults

# Longer than the lease of a shard (6 s).
FREEZE_PAST_LEASE_SECONDS = 9.0
# Longer than the lease of a task (20 s), so that a successor runs the shard by then.
FREEZE_PAST_TAKEOVER_SECONDS = 25.0
# Time for a new key to reach all gateways.
KEY_PROPAGATION_SECONDS = 2.0
SIMULTANEOUS_CALLS = 5
LONG_FAULT_SECONDS = 9.0
SHORT_FAULT_SECONDS = 6.0
WORKERS_HANG_SECONDS = 14.0
LIST_LAG_SECONDS = 10.0
FAULTY_ANSWERS_PER_BACKEND = 30
DUPLICATED_ANSWERS_PER_BACKEND = 3
MAX_TAKEOVER_SECONDS = 60.0
LEDGER_POLL_INTERVAL_SECONDS = 0.25
# A start within this time after a kill may be a command of the killed owner.
IN_FLIGHT_START_SECONDS = 0.5
STATE_CALL_TIMEOUT_SECONDS = 5.0
OWNER_PATTERN = re.compile(r"owner=([^. ]+)")
TABLE_SERVICES = ("table", "objects", "vms")


@dataclass(slots=True)
class FailureContext:
    """What failures act on; `rng` chooses the VMs and failure domains."""

    cluster: Cluster
    control: PlatformControl
    recorder: Recorder
    admin: Administration
    rng: random.Random

    @property
    def history(self) -> History:
        """The history that the run has recorded so far."""
        return self.recorder.history

    def random_entry_vm(self) -> EntryVmProcesses:
        """Return a random entry VM whose process runs."""
        running = [
            vm
            for vm in self.cluster.entry_vms.values()
            if vm.serving("gateway").running
        ]
        return self.rng.choice(running)

    async def random_owner(self) -> EntryVmProcesses:
        """Return a random entry VM whose process owns a shard."""
        queried = self.random_entry_vm()
        async with grpc.aio.insecure_channel(
            next(iter(queried.rpc.values()))
        ) as channel:
            stub = cell_pb2_grpc.PeerStub(channel)
            request = cell_pb2.TextRequest(name="state")
            answer = await stub.Text(request, timeout=STATE_CALL_TIMEOUT_SECONDS)
        owners = sorted(set(OWNER_PATTERN.findall(answer.text)))
        return self.cluster.entry_vms[self.rng.choice(owners)]

    def random_vm_name(self, role: VmRole) -> str:
        """Return the name of a random VM of a role."""
        return self.rng.choice(self.control.names(role))

    def random_failure_domain(self) -> str:
        """Return a random failure domain."""
        return self.rng.choice(list(self.cluster.layout.failure_domains))

    def entry_vms_in(self, domain: str) -> list[str]:
        """Return the names of the entry VMs of a failure domain."""
        return [
            vm.name
            for vm in self.cluster.entry_vms.values()
            if vm.failure_domain == domain
        ]

    def record_disturbance(self, vm: str, began_at: float) -> None:
        """Record that a failure affected a VM from `began_at` until now."""
        self.history.disturbances.append(Disturbance(vm, began_at, time.monotonic()))


Failure = Callable[[FailureContext], Awaitable[None]]


async def kill_entry(context: FailureContext) -> None:
    """Kill the process of an entry VM and start it again."""
    await _kill(context, context.random_entry_vm())


async def kill_owner(context: FailureContext) -> None:
    """Kill the process that owns a shard and start it again."""
    await _kill(context, await context.random_owner())


async def _kill(context: FailureContext, vm: EntryVmProcesses) -> None:
    process = vm.serving("gateway")
    began_at = time.monotonic()
    await process.kill()
    await asyncio.sleep(SHORT_FAULT_SECONDS)
    await process.start()
    await wait_for_ok(f"http://{vm.http}/ready")
    context.record_disturbance(vm.name, began_at)


async def kill_owner_for_good(context: FailureContext) -> None:
    """Kill the owner of a shard and record when a task starts there again.

    The first starts after the kill do not count, as the killed owner may have sent
    their commands.
    """
    vm = await context.random_owner()
    began_at = time.monotonic()
    await vm.serving("gateway").kill()
    workers = set(context.control.names(VmRole.WORKER, vm.failure_domain))
    started_at = math.inf
    while math.isinf(started_at):
        if time.monotonic() > began_at + MAX_TAKEOVER_SECONDS:
            break
        await asyncio.sleep(LEDGER_POLL_INTERVAL_SECONDS)
        started_at = min(
            (
                run.started_at
                for run in (await context.control.ledger()).runs
                if run.worker in workers
                and run.started_at > began_at + IN_FLIGHT_START_SECONDS
            ),
            default=math.inf,
        )
    context.record_disturbance(vm.name, began_at)
    context.history.takeovers.append(Takeover(vm.name, began_at, started_at))


async def kill_domain(context: FailureContext) -> None:
    """Kill the processes of a whole failure domain and start them again."""
    vms = [
        context.cluster.entry_vms[name]
        for name in context.entry_vms_in(context.random_failure_domain())
    ]
    began_at = time.monotonic()
    await asyncio.gather(*(vm.serving("gateway").kill() for vm in vms))
    await asyncio.sleep(LONG_FAULT_SECONDS)
    for vm in vms:
        await vm.serving("gateway").start()
    for vm in vms:
        await wait_for_ok(f"http://{vm.http}/ready")
        context.record_disturbance(vm.name, began_at)


async def freeze_entry(context: FailureContext) -> None:
    """Freeze the process of an entry VM for longer than a shard's lease."""
    await _freeze(context, context.random_entry_vm(), FREEZE_PAST_LEASE_SECONDS)


async def freeze_owner(context: FailureContext) -> None:
    """Freeze the process that owns a shard until a successor runs the shard."""
    await _freeze(context, await context.random_owner(), FREEZE_PAST_TAKEOVER_SECONDS)


async def withdraw_key_from_frozen(context: FailureContext) -> None:
    """Withdraw a key while an entry VM is frozen, and use the key there afterwards.

    The calls use connections that were opened before, so that the process reads them
    as soon as it resumes.  It is cut off from the table by then, so that its view of
    the keys is still outdated when it handles them.
    """
    key = await context.admin.grant(context.admin.keys[0].team)
    await asyncio.sleep(KEY_PROPAGATION_SECONDS)
    vm = context.random_entry_vm()
    process = vm.serving("gateway")
    async with aiohttp.ClientSession() as session:
        caller = replace(context.recorder, session=session)
        await _send_simultaneous_calls(context, caller, vm, key)
        began_at = time.monotonic()
        process.freeze()
        await context.admin.withdraw(key)
        await asyncio.sleep(KEY_WITHDRAWAL_BOUND_SECONDS + 1)
        late = asyncio.create_task(_send_simultaneous_calls(context, caller, vm, key))
        await context.control.cut([vm.name], TABLE_SERVICES)
        await asyncio.sleep(1)
        process.thaw()
        context.record_disturbance(vm.name, began_at)
        await late


async def _send_simultaneous_calls(
    context: FailureContext, caller: Recorder, vm: EntryVmProcesses, key: TeamKey
) -> None:
    """Send several requests with a key to one gateway concurrently."""
    target = Target(vm.name, vm.http)
    service = context.cluster.layout.service
    requests = [
        Request(service, key.team, key.secret, f"at-once-{index}".encode())
        for index in range(SIMULTANEOUS_CALLS)
    ]
    await asyncio.gather(*(caller.request(target, req) for req in requests))


async def _freeze(
    context: FailureContext, vm: EntryVmProcesses, seconds: float
) -> None:
    process = vm.serving("gateway")
    began_at = time.monotonic()
    process.freeze()
    await asyncio.sleep(seconds)
    process.thaw()
    context.record_disturbance(vm.name, began_at)


async def restart_entries(context: FailureContext) -> None:
    """Stop and restart the processes of all entry VMs gracefully, one by one."""
    for vm in context.cluster.entry_vms.values():
        if vm.serving("gateway").running:
            await stop_gracefully(context, vm)
            await vm.serving("gateway").start()
            await wait_for_ok(f"http://{vm.http}/ready")


async def stop_gracefully(context: FailureContext, vm: EntryVmProcesses) -> None:
    """Stop the process of an entry VM gracefully and record the stop."""
    began_at = time.monotonic()
    status = await vm.serving("gateway").stop()
    stop = GracefulStop(vm.name, began_at, time.monotonic(), status)
    context.history.stops.append(stop)


async def cut_entry_from_table(context: FailureContext) -> None:
    """Cut one entry VM off from the platform's table, objects and list of VMs."""
    await context.control.cut([context.random_entry_vm().name], TABLE_SERVICES)
    await asyncio.sleep(LONG_FAULT_SECONDS)


async def cut_domain_from_table(context: FailureContext) -> None:
    """Cut a failure domain off from the table, the objects and the list of VMs."""
    await context.control.cut(
        context.entry_vms_in(context.random_failure_domain()), TABLE_SERVICES
    )
    await asyncio.sleep(LONG_FAULT_SECONDS)


async def cut_domain_from_all(context: FailureContext) -> None:
    """Cut a failure domain off from the platform, workers and backend servers."""
    await context.control.cut(
        context.entry_vms_in(context.random_failure_domain()), [ALL_SERVICES]
    )
    await asyncio.sleep(LONG_FAULT_SECONDS)


async def cut_entry_from_workers(context: FailureContext) -> None:
    """Cut one entry VM off from all workers."""
    workers = context.control.names(VmRole.WORKER)
    await context.control.cut([context.random_entry_vm().name], workers)
    await asyncio.sleep(LONG_FAULT_SECONDS)


async def cut_entry_from_backends(context: FailureContext) -> None:
    """Cut one entry VM off from all backend servers."""
    backends = context.control.names(VmRole.BACKEND)
    await context.control.cut([context.random_entry_vm().name], backends)
    await asyncio.sleep(LONG_FAULT_SECONDS)


async def cut_entry_one_way(context: FailureContext) -> None:
    """Drop all answers of the platform and the workers to one entry VM."""
    services = [*TABLE_SERVICES, *context.control.names(VmRole.WORKER)]
    await context.control.cut([context.random_entry_vm().name], services, one_way=True)
    await asyncio.sleep(LONG_FAULT_SECONDS)


async def table_down(context: FailureContext) -> None:
    """Let the table refuse all calls."""
    await context.control.set_table_faults(down=True)
    await asyncio.sleep(LONG_FAULT_SECONDS)


async def table_slow(context: FailureContext) -> None:
    """Delay each call of the table by 400 ms."""
    await context.control.set_table_faults(slow_ms=400)
    await asyncio.sleep(LONG_FAULT_SECONDS)


async def table_loses_answers(context: FailureContext) -> None:
    """Let the table apply commits and lose their answers."""
    await context.control.set_table_faults(lose_answers=20)
    await asyncio.sleep(SHORT_FAULT_SECONDS)


async def table_commits_late(context: FailureContext) -> None:
    """Let the table apply commits late, after the caller has timed out."""
    await context.control.set_table_faults(late_commits=12, late_ms=2500)
    await asyncio.sleep(SHORT_FAULT_SECONDS)


async def list_lags(context: FailureContext) -> None:
    """Delay the list of VMs while a backend server leaves and a worker is replaced."""
    await context.control.set_list_lag(LIST_LAG_SECONDS)
    await backend_leaves(context)
    await context.control.fail_worker(
        context.random_vm_name(VmRole.WORKER), replace=True
    )
    await asyncio.sleep(LIST_LAG_SECONDS)
    await context.control.set_list_lag(1.0)


async def worker_dies(context: FailureContext) -> None:
    """Let a worker die and return later as a new incarnation."""
    name = context.random_vm_name(VmRole.WORKER)
    await context.control.fail_worker(name, replace=False)
    await asyncio.sleep(LONG_FAULT_SECONDS)
    await context.control.fail_worker(name, replace=True)


async def worker_replaced(context: FailureContext) -> None:
    """Replace a worker at once by a new incarnation."""
    await context.control.fail_worker(
        context.random_vm_name(VmRole.WORKER), replace=True
    )
    await asyncio.sleep(SHORT_FAULT_SECONDS)


async def worker_fails_all(context: FailureContext) -> None:
    """Let every task that one worker starts fail."""
    name = context.random_vm_name(VmRole.WORKER)
    await context.control.fail_all_tasks(name, True)
    await asyncio.sleep(LONG_FAULT_SECONDS)
    await context.control.fail_all_tasks(name, False)


async def workers_hang(context: FailureContext) -> None:
    """Let half of the workers answer no calls while their tasks run on."""
    names = context.control.names(VmRole.WORKER)
    await context.control.hang_vms(context.rng.sample(names, len(names) // 2))
    await asyncio.sleep(WORKERS_HANG_SECONDS)


async def backend_leaves(context: FailureContext) -> None:
    """Let a backend server report that it is leaving, then the list of VMs as well."""
    name = context.random_vm_name(VmRole.BACKEND)
    await context.control.backend_leaves(name)
    context.history.leavings.append(Leaving(name, time.monotonic()))
    await context.control.list_leaving(name)
    await asyncio.sleep(SHORT_FAULT_SECONDS)


async def list_says_leaving(context: FailureContext) -> None:
    """Let only the list of VMs report that a backend server is leaving."""
    name = context.random_vm_name(VmRole.BACKEND)
    await context.control.list_leaving(name)
    context.history.leavings.append(Leaving(name, time.monotonic()))
    await asyncio.sleep(SHORT_FAULT_SECONDS)


async def backends_cut_answers(context: FailureContext) -> None:
    """Let backend servers truncate answers, or close the connection without one."""
    await _inject_answer_faults(
        context, BackendFaults(cut=FAULTY_ANSWERS_PER_BACKEND, closed=10)
    )


async def backends_answer_late(context: FailureContext) -> None:
    """Let backend servers answer 3 s late."""
    await _inject_answer_faults(
        context, BackendFaults(late=FAULTY_ANSWERS_PER_BACKEND, late_ms=3000)
    )


async def backends_answer_twice(context: FailureContext) -> None:
    """Let backend servers send answers a second time, at once or a little later."""
    faults = BackendFaults(
        twice=DUPLICATED_ANSWERS_PER_BACKEND, again=FAULTY_ANSWERS_PER_BACKEND
    )
    await _inject_answer_faults(context, faults)


async def _inject_answer_faults(context: FailureContext, faults: BackendFaults) -> None:
    names = context.control.names(VmRole.BACKEND)
    for name in context.rng.sample(names, len(names) // 2):
        await context.control.set_answer_faults(name, faults)
    await asyncio.sleep(SHORT_FAULT_SECONDS)
    for name in names:
        await context.control.set_answer_faults(name, BackendFaults())


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
    """Draw the failures of a run's steps: one in the first, two in the second."""
    names = list(FAILURES)
    alone, first, second = rng.sample(names, 3)
    return [(alone,), (first, second)]
