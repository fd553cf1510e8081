"""A heavy simulated site: more jobs than it can do, faults in series, mass cancels.

What the servers are told and what the clients were answered is held against the rule
UNASKED after each step.  To run more seeds than the tests do:

    python -m tests.heavy_site --seeds 0..19 --servers 176
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any

import click
import pytest
from loguru import logger

from cassiaweir.dispatch import EndKind, OrderOutcome, ServerEntry, StartOrder
from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.dispatch._placer import Placer
from cassiaweir.dispatch._reports import ReportProcessor
from cassiaweir.dispatch._run_registry import RunRegistry
from cassiaweir.dispatch._runs import Run
from cassiaweir.exceptions import RefusedError, UnavailableError
from cassiaweir.front import JobWriter
from cassiaweir.front._cancels import CancelResult
from cassiaweir.jobs import JobSpec, StepSpec
from cassiaweir.queues import Customer, Queue
from cassiaweir.types import Row
from cassiaweir.verdict import Verdict
from standins.users import FakeRun, FakeServer
from tests.site_fakes import (
    ADVISED,
    CALL_TIMEOUT_S,
    QUEUE,
    URGENT,
    FakeSite,
    FakeVm,
    ProbeResult,
    VmServerClient,
    VmStore,
    configuration,
)
from tests.test_busy_leader import spend_in
from tests.test_site_faults import (
    break_store_for_all,
    break_store_for_some,
    crash_server,
    cut_domain,
    cut_servers,
    delay_orders,
    forget_history,
    kill_all,
    kill_and_restart,
    make_unhealthy,
    stop_leader,
)
from tests.virtual_time import VirtualClock, run_virtual

CANCEL_S = 4.0
ACK_S = 6.0
STOP_S = 0.2
CONTACT_S = 3.0
GANG_S = 4.0
GONE_S = CANCEL_S + STOP_S
OBSERVE_S = 0.05
CUSTOMER = Customer("agency", frozenset({"key"}), weight=10_000.0)


class HeavyStore(VmStore):
    """A connection to the store that may also be slow, or lose answers to reads."""

    def __init__(self, vm: HeavyVm, rng: random.Random) -> None:
        super().__init__(vm.site.store, rng)
        self._vm = vm
        self.slow_s = 0.0
        self.lost_share = 0.0

    async def _call(self, timeout_verdict: Verdict = Verdict.NOT_RUN) -> None:
        await self._vm.resumed()
        await asyncio.sleep(self._rng.uniform(0.0, self.slow_s))
        await super()._call(timeout_verdict)
        if self._rng.random() < self.lost_share:
            await self._time_out(timeout_verdict)
        await self._vm.resumed()


class HeavyClient(VmServerClient):
    """Calls to servers whose answers may get lost after the call was carried out.

    The share `held_share` of starts gets no answer and is carried out later.
    """

    def __init__(self, vm: HeavyVm, rng: random.Random) -> None:
        super().__init__(vm.site, rng)
        self._vm = vm
        self.lost_share = 0.0
        self.held_share = 0.0

    async def renew_lease(self, *args: Any, **options: Any) -> Any:
        """Extend the lease of the server and return its report."""
        report = await super().renew_lease(*args, **options)
        await self._lose(options["timeout"].total_seconds())
        return report

    async def start(self, entry: ServerEntry, order: StartOrder, timeout: Any) -> Any:
        """Order a server to start a run."""
        self._vm.site.starters[order.epoch] = self._vm
        if self._rng.random() < self.held_share:
            await self._hold(entry, order, timeout.total_seconds())
        outcome = await super().start(entry, order, timeout)
        await self._lose(timeout.total_seconds())
        return outcome

    async def stop_run(self, *args: Any) -> OrderOutcome:
        """Order a server to stop a run."""
        outcome = await super().stop_run(*args)
        await self._lose(args[-1].total_seconds())
        return outcome

    async def _hold(
        self, entry: ServerEntry, order: StartOrder, timeout_s: float
    ) -> None:
        """Let a server carry out an order later, without an answer."""
        server = await self._reach(entry, timeout_s)
        born = server.entry.born
        if server.successor is None:
            delay_s = self._rng.uniform(0.3, 6.0)
            self._site.call_later(delay_s, lambda: server.start_late(order, born))
        await self._time_out(timeout_s)

    async def _lose(self, timeout_s: float) -> None:
        await self._vm.resumed()
        if self._rng.random() < self.lost_share:
            await self._time_out(timeout_s)

    async def _reach(self, entry: ServerEntry, timeout_s: float) -> FakeServer:
        await self._vm.resumed()
        return await super()._reach(entry, timeout_s)


class HeavyVm(FakeVm):
    """A VM with a front, which may freeze or be removed for good.

    While it is frozen, its calls neither leave nor return.
    """

    site: HeavySite
    store: HeavyStore
    orders: HeavyClient
    removed = False
    frozen_until = 0.0
    troubled_at = -CONTACT_S

    def start(self) -> None:
        """Start a new process with a new front, unless the VM was removed."""
        if self.removed or self.alive:
            return
        if not isinstance(self.store, HeavyStore):
            self.store = HeavyStore(self, self._rng)
            self.orders = HeavyClient(self, self._rng)
        super().start()
        self.calls: set[asyncio.Task[Any]] = set()
        self.writer = JobWriter(
            self.store, VirtualClock(), self, store_unreachable=lambda: False
        )

    def notify_leader(self, rows: Sequence[Row]) -> None:
        """Pass rows on to the leader; some get lost, others come late."""
        leader = self.site.leader()
        linked = leader is not None and (
            self.failure_domain == leader.failure_domain
            or not self.site.cut_domains & {self.failure_domain, leader.failure_domain}
        )
        if linked and self._rng.random() >= self.site.lost_notices:
            late_s = 5.0 if self._rng.random() < 0.02 else 0.02
            delay_s = self._rng.uniform(0.0, late_s)
            self.site.call_later(delay_s, lambda: leader.receive(rows))

    def receive(self, rows: Sequence[Row]) -> None:
        """Apply rows that another VM has stored."""
        if self.alive and not self.frozen:
            self.term.apply_rows(rows)

    @property
    def frozen(self) -> bool:
        """Whether the process stands still."""
        return asyncio.get_running_loop().time() < self.frozen_until

    async def resumed(self) -> None:
        """Return once the process is not frozen."""
        clock = VirtualClock()
        while self.frozen:
            left_s = self.frozen_until - clock.monotonic() + 0.001
            await clock.sleep(timedelta(seconds=left_s))

    async def call(self, coroutine: Coroutine[Any, Any, Any], wait_s: float) -> Any:
        """Return the answer of this VM's front; `UnavailableError` if there is none."""
        await asyncio.sleep(0.002)
        task = asyncio.create_task(coroutine)
        self.calls.add(task)
        task.add_done_callback(self._forget_call)
        await asyncio.wait({task}, timeout=wait_s)
        if not task.done() or task.cancelled():
            raise UnavailableError("no answer", verdict=Verdict.MAY_HAVE_RUN)
        return task.result()

    def _forget_call(self, task: asyncio.Task[Any]) -> None:
        self.calls.discard(task)
        # Nobody waits for the answer any more if the client has given up.
        if not task.cancelled():
            task.exception()

    async def kill(self) -> None:
        """End the process at once; calls to its front get no answer."""
        self.troubled_at = asyncio.get_running_loop().time()
        transactions = self.writer._transactions
        for task in [*self.calls, *transactions]:
            task.cancel()
        await super().kill()

    def is_troubled(self) -> bool:
        """Return whether the process or its way to the store is disturbed now."""
        store = self.store
        return bool(
            not self.alive
            or self.frozen
            or store.fault_mode
            or store.slow_s
            or store.lost_share
            or self.failure_domain in self.site.cut_domains
        )


class HeavyServer(FakeServer):
    """A server whose tasks write checkpoints that name their task, or their gang."""

    site: HeavySite

    def start(self, order: StartOrder) -> OrderOutcome:
        """Hold an order against what the clients sent, then carry it out."""
        if not self.site.rule.check_order(order):
            return OrderOutcome.INVALID
        return super().start(order)

    def start_late(self, order: StartOrder, born: int | None) -> None:
        """Carry out a delayed order."""
        self.site.late = True
        super().start_late(order, born)
        self.site.late = False

    def _checkpoint(self, run: FakeRun) -> str:
        began_at = self.site.works_since(run)
        if began_at is None:
            return ""
        ran_s = asyncio.get_running_loop().time() - began_at
        written = int(ran_s / self.checkpoint_s)
        return self._write(run, str(written)) if written else ""

    def _write(self, run: FakeRun, value: str) -> str:
        if not self.site._step_of(run.task).checkpoints:
            return ""
        owner = self.site.rule.owner_of(run.task)
        checkpoint = f"{owner}@{run.number}/{value}"
        self.site.rule.written[owner].add(checkpoint)
        return checkpoint

    def _end(self, run: FakeRun, how: EndKind) -> None:
        saved = self._checkpoint(run)
        if how is EndKind.STOPPED and self.site.works_since(run) is not None:
            saved = self._write(run, f"stop-{self.entry.server_id}")
        super()._end(run, how)
        self.ends[-1] = replace(self.ends[-1], checkpoint=saved)
        if how is not EndKind.DONE:
            self.site.gangs.pop((self.site.rule.owner_of(run.task), run.number), None)


@dataclass
class HeavyJob:
    """A job, and what its client was answered; times are of the loop's clock.

    `cancelled_at` is from when on the job counts as cancelled: a cancel was
    acknowledged, or has waited for that for `ACK_S` of steady state.
    """

    spec: JobSpec
    accepted: bool = False
    in_doubt: bool = False
    cancel_sent_at: float | None = None
    acknowledged_at: float | None = None
    cancelled_at: float | None = None
    result: CancelResult | None = None
    waited_s: float = 0.0


@dataclass
class Unasked:
    """Checks UNASKED, by what servers are told and clients were answered."""

    site: HeavySite
    jobs: dict[str, HeavyJob] = field(default_factory=dict)
    written: defaultdict[str, set[str]] = field(
        default_factory=lambda: defaultdict(set)
    )
    sent: dict[tuple[str, int], str] = field(default_factory=dict)
    late_at: dict[tuple[str, str, int], float] = field(default_factory=dict)
    reported: set[tuple[str, int]] = field(default_factory=set)
    counts: Counter[str] = field(default_factory=Counter)

    def owner_of(self, task: str) -> str:
        """Return who a checkpoint belongs to: the gang of a task, or the task."""
        step = self.site._step_of(task)
        return task.rpartition(".")[0] if step.gang else task

    def _fault(self, text: str) -> None:
        now = asyncio.get_running_loop().time()
        self.site.faults.append(f"{now:.3f} UNASKED: {text}")

    def check_order(self, order: StartOrder) -> bool:
        """Check what a server is told; return whether there is such a task."""
        job_id, occurrence, step, index = order.task.split(".")
        job = self.jobs.get(job_id)
        known = (
            job is not None
            and int(occurrence) < max(job.spec.times, 1)
            and int(step) < len(job.spec.steps)
            and int(index) < job.spec.steps[int(step)].count
        )
        if job is None or not known:
            self._fault(f"nobody sent {order.task}")
            return False
        if order.spec != job.spec.task_spec:
            self._fault(f"{order.task} with another spec: {order.spec}")
        owner = self.owner_of(order.task)
        if order.checkpoint and order.checkpoint not in self.written[owner]:
            self._fault(f"{order.task} with the checkpoint {order.checkpoint}")
        first = self.sent.setdefault((owner, order.run), order.checkpoint)
        if first != order.checkpoint and owner != order.task:
            self._fault(
                f"{order.task}/{order.run} with {order.checkpoint!r}, before {first!r}"
            )
        self.counts["orders"] += 1
        self.counts["resumed"] += bool(order.checkpoint)
        return True

    def check_start(self, server: FakeServer, order: StartOrder) -> None:
        """Check that a start comes in time before a cancel takes effect."""
        now = asyncio.get_running_loop().time()
        job = self.jobs[order.task.partition(".")[0]]
        if self.site.late:
            self.late_at[server.entry.server_id, order.task, order.run] = now
            self.counts["late"] += 1
        if job.result is CancelResult.UNKNOWN_JOB:
            self._fault(f"{order.task} starts, its id was closed")
        if job.cancelled_at is None:
            return
        if self.site.late:
            self.counts["late after a cancel"] += 1
            return
        starter = self.site.starters[order.epoch]
        in_touch = now - starter.troubled_at > CONTACT_S
        self.counts["starts after a cancel"] += 1
        after_ms = round((now - job.cancelled_at) * in_touch * 1_000)
        self.counts["most ms after a cancel"] = max(
            after_ms, self.counts["most ms after a cancel"]
        )
        if in_touch and now > job.cancelled_at + CANCEL_S:
            self._fault(
                f"{order.task}/{order.run} starts {now - job.cancelled_at:.3f} s after "
                f"its cancel, told by {starter.name}"
            )

    def observe(self, now: float, calm_s: float) -> None:
        """Check what runs, and let cancels without an answer take effect."""
        for job in self.jobs.values():
            if job.cancel_sent_at is not None and job.cancelled_at is None:
                job.waited_s += OBSERVE_S if calm_s > CONTACT_S else 0.0
                if job.waited_s >= ACK_S:
                    job.cancelled_at = now
                    self.counts["cancels not acknowledged"] += 1
        if calm_s < GONE_S:
            return
        for key in list(self.site._running):
            self._check_running(key, now)

    def _check_running(self, key: tuple[str, str, int], now: float) -> None:
        server_id, task, run = key
        job = self.jobs[task.partition(".")[0]]
        if job.cancelled_at is None or (task, run) in self.reported:
            return
        until = job.cancelled_at + GONE_S
        if key in self.late_at:
            until = max(until, self.late_at[key] + CONTACT_S + GONE_S)
        if now <= until:
            return
        self.site.servers[server_id].apply_due_events()
        if key in self.site._running:
            self.reported.add((task, run))
            self._fault(
                f"{task}/{run} runs on {server_id} {now - job.cancelled_at:.3f} s after"
                f" its cancel, late={key in self.late_at}"
            )


class HeavySite(FakeSite):
    """A site whose servers, VMs and clients are those of this module."""

    vms: list[HeavyVm]  # type: ignore[assignment]

    def __init__(self, *, servers: int, seed: int, vms: int = 6) -> None:
        domains = ("a", "b", "c")
        super().__init__(
            servers=0, vms=0, seed=seed, domains=domains, question_s=0.02,
            each_server_s=0.0005,
        )  # fmt: skip
        self.rule = Unasked(self)
        self.late = False
        self.lost_notices = 0.05
        self.starters: dict[int, HeavyVm] = {}
        self.gangs: dict[tuple[str, int], float] = {}
        self.configuration.value = configuration(CUSTOMER)
        for number in range(servers):
            server = HeavyServer(
                f"i-{number}", self, f"r1-{number // 4}", domains[number % 3]
            )
            server.checkpoint_s = self.rng.choice((0.3, 1.0))
            server.refuses = self.rng.random() < 0.5
            server.poll_s = 0.05
            self.servers[server.entry.server_id] = server
            self.register(server)
        for number in range(vms):
            self.vms.append(HeavyVm(f"vm-{number}", self, 1.0, domains[number % 3]))
        self.troubled_at = 0.0
        self.cancel_mass: Callable[[float], None] = lambda _: None
        self._observer = asyncio.create_task(self._observe())

    def replace(self, server: FakeServer) -> None:
        """Start the next lifetime of a crashed server under another id."""
        entry = server.entry
        successor = HeavyServer(
            f"i-{len(self.servers)}", self, entry.rack, entry.failure_domain,
            address=entry.address,
        )  # fmt: skip
        successor.checkpoint_s, successor.poll_s = server.checkpoint_s, server.poll_s
        server.successor = successor
        self.servers[successor.entry.server_id] = successor
        self.register(successor)

    def record_start(self, server: FakeServer, order: StartOrder) -> None:
        """Start a run and check that it was asked for."""
        super().record_start(server, order)
        self.rule.check_start(server, order)
        if self._step_of(order.task).gang:
            self._join_gang(server, order)

    def _join_gang(self, server: FakeServer, order: StartOrder) -> None:
        """Let a member wait for the others; the last one lets all of them work."""
        now = asyncio.get_running_loop().time()
        owner = self.rule.owner_of(order.task)
        members = [
            self.servers[server_id].runs[task, run]
            for server_id, task, run in self._running
            if run == order.run and task.rpartition(".")[0] == owner
        ]
        seconds, _, how = order.spec.partition("/")
        if len(members) < self._step_of(order.task).count:
            own = server.runs[order.task, order.run]
            own.ends_at, own.how = now + GANG_S, EndKind.ALONE
            return
        self.gangs[owner, order.run] = now
        for each in members:
            each.ends_at, each.how = now + float(seconds), EndKind(how)

    def works_since(self, run: FakeRun) -> float | None:
        """Return since when a run is at work, None if its gang is not complete."""
        if not self._step_of(run.task).gang:
            return run.began_at
        return self.gangs.get((self.rule.owner_of(run.task), run.number))

    async def probe(self, address: str) -> ProbeResult:
        """Return whether the VM at `address` leads; a frozen one is silent."""
        vm = next(vm for vm in self.vms if vm.name == address)
        if vm.alive and vm.frozen:
            await asyncio.sleep(CALL_TIMEOUT_S / 2)
            return ProbeResult.SILENT
        return await super().probe(address)

    async def _observe(self) -> None:
        while True:
            now = asyncio.get_running_loop().time()
            for vm in self.vms:
                if vm.is_troubled():
                    vm.troubled_at = now
            if self._is_troubled():
                self.troubled_at = now
            self.rule.observe(now, now - self.troubled_at)
            await asyncio.sleep(OBSERVE_S)

    def _is_troubled(self) -> bool:
        here = [vm for vm in self.vms if not vm.removed]
        orders = [vm.orders for vm in here]
        return (
            any(vm.is_troubled() for vm in here)
            or any(
                each.unreachable
                or each.unhealthy
                or each.late_share + each.held_share + each.lost_share
                for each in orders
            )
            or any(not server.newest().up for server in self.servers.values())
        )

    async def close(self) -> None:
        """Stop the checks and kill the processes of all VMs."""
        self._observer.cancel()
        await super().close()


async def freeze_leader(site: HeavySite, rng: random.Random) -> None:
    """Stop the leader for longer than others wait for it, or for less."""
    vm = site.leader() or rng.choice(site.vms)
    vm.frozen_until = asyncio.get_running_loop().time() + rng.uniform(0.3, 6.0)
    await vm.resumed()


async def slow_store(site: HeavySite, rng: random.Random) -> None:
    """Let the store be slow, and lose answers, for some VMs or all."""
    vms = site.vms if rng.random() < 0.5 else [site.leader() or site.vms[0]]
    for vm in vms:
        vm.store.slow_s = rng.choice((0.1, 0.4, 1.0))
        vm.store.lost_share = rng.choice((0.0, 0.3))
    await asyncio.sleep(rng.uniform(2.0, 6.0))
    for vm in vms:
        vm.store.slow_s = vm.store.lost_share = 0.0


async def lose_answers(site: HeavySite, rng: random.Random) -> None:
    """Let answers of servers get lost, and carry out some starts late."""
    for vm in site.vms:
        vm.orders.lost_share = rng.choice((0.1, 0.5))
        vm.orders.late_share = rng.choice((0.0, 0.2))
        vm.orders.held_share = rng.choice((0.0, 0.3))
    await asyncio.sleep(rng.uniform(2.0, 6.0))
    for vm in site.vms:
        vm.orders.lost_share = vm.orders.late_share = vm.orders.held_share = 0.0


async def lose_notices(site: HeavySite, rng: random.Random) -> None:
    """Let what VMs tell the leader get lost."""
    site.lost_notices = 0.9
    await asyncio.sleep(rng.uniform(3.0, 10.0))
    site.lost_notices = 0.05


async def remove_leader(site: HeavySite, rng: random.Random) -> None:
    """Remove the VM that started most of what runs, for good."""
    vm = site.leader()
    if vm is None or sum(not each.removed for each in site.vms) <= 3:
        return
    vm.removed = True
    await vm.kill()


async def hand_over_in_series(site: HeavySite, rng: random.Random) -> None:
    """Kill, stop or freeze one leader after the other."""
    for _ in range(rng.randint(2, 4)):
        await rng.choice((kill_and_restart, stop_leader, freeze_leader))(site, rng)
        await asyncio.sleep(rng.uniform(0.0, 1.5))


async def start_late_while_cut(site: HeavySite, rng: random.Random) -> None:
    """Hold back starts at servers that are then cut off, while jobs are cancelled.

    No order to stop arrives before the starts are carried out; the leader may change.
    """
    servers = [each for each in site.servers if rng.random() < 0.4]
    for vm in site.vms:
        vm.orders.held_share = 0.8
    await asyncio.sleep(rng.uniform(0.3, 1.0))
    for vm in site.vms:
        vm.orders.held_share = 0.0
        vm.orders.unreachable.update(servers)
    site.cancel_mass(rng.choice((0.3, 0.9)))
    if rng.random() < 0.6:
        await rng.choice((remove_leader, kill_and_restart, stop_leader))(site, rng)
    await asyncio.sleep(rng.uniform(0.5, 5.0))
    for vm in site.vms:
        vm.orders.unreachable.difference_update(servers)


async def replace_servers(site: HeavySite, rng: random.Random) -> None:
    """Crash many servers; some come back under other ids."""
    up = [each for each in site.servers.values() if each.up and each.successor is None]
    for server in rng.sample(up, max(len(up) // 8, 1)):
        site.crash_for(server, rng.uniform(0.5, 5.0), new_id=rng.random() < 0.5)
    await asyncio.sleep(5.0)


FAULTS: tuple[Callable[[Any, random.Random], Coroutine[Any, Any, None]], ...] = (
    freeze_leader, slow_store, slow_store, lose_answers, lose_answers, lose_answers,
    lose_notices, remove_leader, hand_over_in_series, replace_servers,
    start_late_while_cut, start_late_while_cut, start_late_while_cut,
    break_store_for_all, break_store_for_some, crash_server, cut_domain, cut_servers,
    delay_orders, forget_history, kill_all, kill_and_restart, make_unhealthy,
    stop_leader,
)  # fmt: skip


class HeavyLoad:
    """Clients that submit more than the site can do, and cancel in masses."""

    def __init__(self, site: HeavySite, load: float) -> None:
        self.site = site
        self.rate = 0.45 * len(site.servers) * load
        self._ids = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def new_job(self) -> HeavyJob:
        """Return a job of a random shape, which its client is about to send."""
        rng = self.site.rng
        seconds = rng.uniform(0.3, 6.0)
        kind = rng.random()
        estimate_s = seconds * rng.choice((0.5, 1.0, 2.0))
        step = StepSpec(
            count=rng.choice((3, 25, 90)) if kind < 0.5 else rng.randint(1, 4),
            cpu_millis=rng.choice((300, 1_700, 2_500)),
            estimate_s=estimate_s,
            checkpoints=rng.random() < 0.6,
        )
        queue: Queue = QUEUE
        times = 0
        if kind < 0.25:
            queue = rng.choice((ADVISED, ADVISED, URGENT))
            step = replace(step, count=rng.randint(2, 8), gang=True, cpu_millis=4_500)
        elif kind > 0.9:
            step = replace(step, long_running=True)
        elif kind > 0.85:
            times = rng.choice((2, 20))
        elif kind > 0.6:
            queue = URGENT
        steps = (step, replace(step, after=(0,))) if rng.random() < 0.2 else (step,)
        steps = (step,) if step.long_running else steps
        how = EndKind.FAILED if rng.random() < 0.05 else EndKind.DONE
        now = VirtualClock().now().timestamp()
        job_id = f"{next(self._ids):016x}"
        spec = JobSpec(
            job_id, queue, "agency", f"{seconds:.6f}/{how.value}", steps, now, times,
            now, rng.choice((0.0, 1.0)),
        )  # fmt: skip
        job = HeavyJob(spec)
        self.site.specs[job_id] = spec
        self.site.rule.jobs[job_id] = job
        return job

    async def submit_for(self, seconds: float) -> None:
        """Submit jobs for some time, with a mass of cancels now and then."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            self._spawn(self._run(self.new_job()))
            if self.site.rng.random() < 0.3 / self.rate:
                self.cancel_mass(self.site.rng.choice((0.3, 0.9)))
            await asyncio.sleep(self.site.rng.expovariate(self.rate))

    def cancel_mass(self, share: float) -> None:
        """Cancel a share of all jobs, and ids that nobody has submitted."""
        self.site.rule.counts["masses"] += 1
        for job in list(self.site.rule.jobs.values()):
            if job.cancel_sent_at is None and self.site.rng.random() < share:
                self._spawn(self._cancel(job))
        for number in range(250):
            spec = JobSpec(f"f{number:015x}", QUEUE, "agency", "", (), 0.0)
            self._spawn(self._cancel(HeavyJob(spec), most=3))

    async def _run(self, job: HeavyJob) -> None:
        rng = self.site.rng
        for _ in range(rng.randint(1, 6)):
            vm = self._front()
            wait_s = rng.choice((0.005, 0.3, 2.0, 2.0, 2.0))
            try:
                if vm is None:
                    raise UnavailableError("no front", verdict=Verdict.NOT_RUN)
                await vm.call(vm.writer.submit(job.spec), wait_s)
                job.accepted = True
                if rng.random() < 0.3:
                    self._spawn(self._repeat(job))
                break
            except RefusedError:
                break
            except UnavailableError:
                job.in_doubt = True
            await asyncio.sleep(rng.uniform(0.0, 0.5))
        if (job.in_doubt and not job.accepted) or rng.random() < 0.1:
            await asyncio.sleep(rng.choice((0.0, 0.05, 1.0, 5.0)))
            await self._cancel(job)

    async def _repeat(self, job: HeavyJob) -> None:
        """Send a job again seconds after it was accepted, perhaps after its cancel."""
        await asyncio.sleep(self.site.rng.uniform(0.5, 15.0))
        vm = self._front()
        try:
            if vm is not None:
                await vm.call(vm.writer.submit(job.spec), 2.0)
        except (RefusedError, UnavailableError):
            return

    def _front(self) -> HeavyVm | None:
        found = [vm for vm in self.site.vms if vm.alive]
        return self.site.rng.choice(found) if found else None

    async def _cancel(self, job: HeavyJob, most: int = 60) -> None:
        """Ask one front after the other to cancel a job, until one says so."""
        rng = self.site.rng
        loop = asyncio.get_running_loop()
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        if job.cancel_sent_at is None:
            job.cancel_sent_at = loop.time()
        for _ in range(most):
            vm = self._front()
            try:
                if vm is not None:
                    cancel = vm.writer.cancel(job.spec.job_id, "agency")
                    result = await vm.call(cancel, 1.5)
                    await asyncio.sleep(rng.choice((0.0, 0.0, 0.5, 2.0)))
                    self._acknowledge(job, result)
                    return
            except (RefusedError, UnavailableError):
                pass
            await asyncio.sleep(rng.uniform(0.1, 0.6))

    def _acknowledge(self, job: HeavyJob, result: CancelResult) -> None:
        now = asyncio.get_running_loop().time()
        job.result, job.acknowledged_at = result, now
        job.cancelled_at = min(now, job.cancelled_at or now)
        self.site.rule.counts[f"acknowledged {result.value}"] += 1


@dataclass
class Outcome:
    """What a run has shown: breaches of guarantees, and counts to look at."""

    seed: int
    faults: list[str]
    counts: Counter[str]


def run_heavy(
    seed: int, *, servers: int, seconds: float, load: float, busy_s: float
) -> Outcome:
    """Run a heavy site for `seconds`; return what was seen.

    `load` is its share of what the servers can do, roughly.  `busy_s` is the time that
    the leader computes for each step that it places.
    """
    outcome = Outcome(seed, [], Counter())

    async def body() -> None:
        site = HeavySite(servers=servers, seed=seed)
        outcome.faults, outcome.counts = site.faults, site.rule.counts
        await site.wait_for_leader()
        work = HeavyLoad(site, load)
        site.cancel_mass = work.cancel_mass
        submitting = asyncio.create_task(work.submit_for(seconds))
        while not submitting.done():
            await asyncio.sleep(site.rng.uniform(0.5, 4.0))
            faults = site.rng.choices(FAULTS, k=site.rng.randint(1, 5))
            outcome.counts.update(each.__name__ for each in faults)
            await asyncio.gather(*(each(site, site.rng) for each in faults))
            if site.rng.random() < 0.4:
                await asyncio.sleep(CONTACT_S + ACK_S + GONE_S)
        await submitting
        outcome.counts["waiting"] = count_waiting(site)
        work.cancel_mass(0.6)
        await asyncio.sleep(20.0)
        work.cancel_mass(1.0)
        await asyncio.sleep(20.0)
        for task in work.tasks:
            task.cancel()
        outcome.counts["jobs"] = len(site.rule.jobs)
        outcome.counts["starts"] = len(site.history)
        outcome.counts["done"] = sum(each.how is EndKind.DONE for each in site.history)
        outcome.counts["left"] = len(site._running)
        check_refused(site)
        await site.close()

    requeue = RunRegistry.requeue

    def counting(runs: RunRegistry, run: Run, cause: str) -> None:
        outcome.counts[f"requeued, {cause}"] += 1
        requeue(runs, run, cause)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(RunRegistry, "requeue", counting)
        spend_in(patch, Placer, "_place_step", busy_s)
        spend_in(patch, ReportProcessor, "apply", busy_s / 10)
        spend_in(patch, JobRegistry, "add_row", busy_s / 10)
        run_virtual(body)
    return outcome


def count_waiting(site: HeavySite) -> int:
    """Return how many accepted jobs have not begun yet."""
    begun = {run.task.partition(".")[0] for run in site.history}
    jobs = site.rule.jobs.items()
    return sum(job.accepted and job_id not in begun for job_id, job in jobs)


def check_refused(site: HeavySite) -> None:
    """Check that nothing ran of jobs whose submissions were all refused."""
    for job_id, job in site.rule.jobs.items():
        refused = not job.accepted and not job.in_doubt and job.result is None
        if refused and site.starts_of(job_id):
            site.faults.append(f"REFUSED: {job_id} was refused and ran")


@click.command()
@click.option("--seeds", default="0..19", show_default=True, help="FIRST..LAST.")
@click.option("--servers", default=24, show_default=True, help="Backend servers.")
@click.option("--seconds", default=40.0, show_default=True, help="Duration of load.")
@click.option("--load", default=1.5, show_default=True, help="Share of the capacity.")
@click.option("--busy", default=0.0005, show_default=True, help="Seconds for a step.")
@click.option("--log", default="", help="A file for the log of the processes.")
def main(
    seeds: str, servers: int, seconds: float, load: float, busy: float, log: str
) -> None:
    """Run seeds and print what each has shown."""
    logger.remove()
    if log:

        def stamp(record: Any) -> None:
            record["extra"]["at"] = round(asyncio.get_running_loop().time(), 3)

        logger.configure(patcher=stamp)
        logger.add(log, format="{extra[at]} {message} {extra}")
    first, _, last = seeds.partition("..")
    for seed in range(int(first), int(last or first) + 1):
        began = time.monotonic()
        outcome = run_heavy(
            seed, servers=servers, seconds=seconds, load=load, busy_s=busy
        )
        took = time.monotonic() - began
        click.echo(
            f"seed {seed} ({took:.0f} s): {dict(sorted(outcome.counts.items()))}"
        )
        for fault in outcome.faults[:20]:
            click.echo(f"    {fault}")


if __name__ == "__main__":
    main()
