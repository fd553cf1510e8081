"""Tests of admission by load through a whole leader term, gRPC and HTTP."""

from __future__ import annotations

import asyncio
import math
from datetime import timedelta

import pytest
from loguru import logger

from cassiaweir.clock import SystemClock
from cassiaweir.dispatch import Refusal, encode_refusal, job_key
from cassiaweir.feeds import TableWatch
from cassiaweir.front import FrontServer, JobDirectory, LoadAdmission
from cassiaweir.jobs import JobSpec, JobState, StepSpec
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.peers import MEMBERS_PREFIX, Members, NodeServicer, PeerClient
from cassiaweir.peers._load import decode_load
from cassiaweir.platform import PlatformJobCodec
from cassiaweir.queues import Customer
from cassiaweir.rpc import node_pb2
from cassiaweir.rpc._server import Channels, RpcServer
from cassiaweir.scheduling import CustomerLoad, LoadSnapshot, QueueLoad
from cassiaweir.types import Resources, Row, Write
from tests.site_fakes import QUEUE, FakeSite, configuration
from tests.test_front import BODY, JOB_ID, FakeLeader, HttpRig
from tests.virtual_time import VirtualClock, run_virtual
from tests.waiting import until

STEP = StepSpec(count=4, cpu_millis=2_000, estimate_s=1.0)
OLD_ID = "00000000000000f0"


def spec_of(customer: str, number: int = 0) -> JobSpec:
    return JobSpec(f"{number:016x}", QUEUE, customer, "x", (STEP,), 0.0)


def load_of(queue: QueueLoad, age_s: float = 0.0) -> LoadSnapshot:
    now = SystemClock().monotonic()
    customers = {"agency": CustomerLoad(0.0, 2.0)}
    return LoadSnapshot(1, now - age_s, 64_000, {"recon": queue}, customers)


FULL = QueueLoad(1.0, 2.0, full=True)


def admission_at(site: FakeSite, vm) -> LoadAdmission:
    return LoadAdmission(
        VirtualClock(),
        Metrics(),
        vm.election,
        local_load=vm.term.load,
        enabled=lambda: True,
    )


async def overload(site: FakeSite, seconds: int) -> None:
    """Submit seven times the share of one customer, and the share of another."""
    for number in range(14 * seconds):
        site.submit(STEP, customer="hot")
        if number % 14 == 0:
            site.submit(STEP, customer="calm")
        await asyncio.sleep(1 / 14)


def test_a_leader_refuses_the_excess_only_and_its_successor_nothing_at_first() -> None:
    """Guards against refusals of calm customers, and by an unsettled successor.

    A customer is calm again as soon as it submits less.  The leader reads the load in
    its own process.
    """

    async def body() -> None:
        site = FakeSite(servers=2, vms=2)
        hot, calm = Customer("hot", weight=2.0), Customer("calm", weight=2.0)
        site.configuration.value = configuration(hot, calm)
        leader = await site.wait_for_leader()
        await asyncio.sleep(2)
        site.submit(STEP, customer="hot")
        await asyncio.sleep(0.5)
        assert not leader.term.load().is_full("recon")
        await overload(site, 4)
        load = leader.term.load()
        assert load.epoch == leader.term.serving_epoch
        assert load.is_full("recon")
        assert set(load.customers) == {"hot"}
        admission = admission_at(site, leader)
        hot_answers = [admission.check(spec_of("hot", each)) for each in range(20)]
        assert 2 <= hot_answers.count(None) <= 12
        assert admission.check(spec_of("calm")) is None
        await asyncio.sleep(0.8)
        assert leader.term.load().is_full("recon")
        assert not any(admission.check(spec_of("hot", each)) for each in range(20))
        await leader.kill()
        successor = await site.wait_for_leader()
        assert successor.term.load() is None or not successor.term.load().queues
        for number in range(20):
            assert admission_at(site, successor).check(spec_of("hot", number)) is None
        assert not site.faults
        await site.close()

    run_virtual(body)


def test_a_leader_loads_refusal_rows_as_no_jobs_and_runs_a_job_that_returns() -> None:
    """Guards against errors on takeover, and against losing a job that was refused.

    The feed may deliver the refusal row after the job that has replaced it.
    """

    async def body() -> None:
        lines: list[str] = []
        sink = logger.add(lines.append, level="WARNING", format="{message}")
        site = FakeSite(servers=2, vms=1)
        turn_at = VirtualClock().now().timestamp() + 100
        value = encode_refusal(Refusal("agency", turn_at, turn_at))
        versions = site.store.apply([], [Write(job_key(OLD_ID), value)])
        leader = await site.wait_for_leader()
        await asyncio.sleep(0.5)
        assert leader.term.job_state(OLD_ID) is None
        site._ids = iter([int(OLD_ID, 16)])
        site.store.rows.pop(job_key(OLD_ID))
        assert site.submit(STEP) == OLD_ID
        key = job_key(OLD_ID)
        leader.term.apply_rows([Row(key, versions[key], value)])
        assert not leader.term._dispatcher._load._meter._places
        await asyncio.sleep(8)
        assert leader.term.job_state(OLD_ID) is JobState.DONE
        leader.term.apply_rows([Row(key, versions[key], value)])
        await asyncio.sleep(4)
        assert site.store.rows[key].value == b"{}"
        logger.remove(sink)
        assert not [each for each in lines if "unreadable" in each or "error" in each]
        assert not site.faults
        await site.close()

    run_virtual(body)


class FakeJobs:
    """A leader's jobs with a load."""

    def __init__(self) -> None:
        self.rows: list[Row] = []
        self.snapshot: LoadSnapshot | None = None

    def apply_rows(self, rows) -> None:
        self.rows += rows

    def load(self) -> LoadSnapshot | None:
        return self.snapshot


async def test_the_answer_of_offer_carries_the_load_and_its_age():
    """Guards against a load that looks newer than it is at the other VM."""
    jobs = FakeJobs()
    servicer = NodeServicer(jobs, None, None)
    events = EventLog("vm", SystemClock())
    server = RpcServer("127.0.0.1:0", [servicer.register], events)
    channels = Channels()
    await server.start()
    client = PeerClient(channels)
    row = Row("jobs/0/0", 1, b"{}")
    assert await client.offer(server.bound_address, [row]) is None
    jobs.snapshot = load_of(FULL, age_s=1.5)
    told = await client.offer(server.bound_address, [row])
    assert told.time <= jobs.snapshot.time + 0.001
    assert told.queues == jobs.snapshot.queues
    assert told.customers == jobs.snapshot.customers
    assert jobs.rows == [row, row]
    await channels.stop()
    await server.stop()


@pytest.mark.parametrize("wait_s", [math.nan, -1.0, math.inf])
def test_malformed_fields_of_a_peer_refuse_nothing(wait_s: float) -> None:
    """Guards against refusals, or an exception, by what a faulty peer sends."""

    async def body() -> None:
        site = FakeSite(servers=1, vms=1)
        vm = await site.wait_for_leader()
        admission = admission_at(site, vm)
        message = node_pb2.OfferAnswer(
            epoch=2**64 - 1,
            fleet_cpu_millis=2**64 - 1,
            queues={"recon": node_pb2.QueueLoad(wait_s=wait_s, full=True)},
            customers={"agency": node_pb2.CustomerLoad(wait_s=wait_s)},
        )
        now = asyncio.get_running_loop().time()
        admission.update(decode_load(message, now))
        assert admission.check(spec_of("agency")) is None
        assert decode_load(node_pb2.OfferAnswer.FromString(b""), now) is None
        await site.close()

    run_virtual(body)


def test_nothing_is_refused_while_a_vm_runs_a_build_without_refusal_rows() -> None:
    """Guards against an older front that answers 200 for a blocked id.

    It takes the refusal row for a stored job.
    """

    async def body() -> None:
        site = FakeSite(servers=1, vms=1)
        store, clock = site.vms[0].store, VirtualClock()
        watch = TableWatch(
            store, [MEMBERS_PREFIX], clock, wait=timedelta(milliseconds=100)
        )
        members = Members(
            store, watch, clock, node="a", instance="i", address="a:1", seeds=(),
            cores=1.0,
        )  # fmt: skip
        assert not members.all_know_refusals()
        await watch.start()
        await members.start()
        key = f"{MEMBERS_PREFIX}b"
        for row, expected in (
            (b'{"instance":"x","address":"b:1","knows_refusals":true}', True),
            (b'{"instance":"x","address":"b:1","cores":1.0}', False),
            (None, True),
        ):
            site.store.apply([], [Write(key, row)])
            await asyncio.sleep(0.5)
            assert members.all_know_refusals() is expected
        await watch.stop()
        await site.close()

    run_virtual(body)


class LoadedRig(HttpRig):
    """A front that was told a load."""

    def __init__(self) -> None:
        super().__init__()
        self.metrics = Metrics()
        self.admission = LoadAdmission(
            self.clock,
            self.metrics,
            self.leader,
            local_load=lambda: None,
            enabled=lambda: True,
        )
        self.front = FrontServer(
            front_address="127.0.0.1:0",
            ready_address="127.0.0.1:0",
            access=self.access,
            submissions=self.submissions,
            states=self.states,
            codec=PlatformJobCodec(),
            clock=self.clock,
            metrics=self.metrics,
            is_ready=lambda: True,
            admission=self.admission,
        )


async def test_a_refused_caller_gets_429_and_no_trace_of_a_job():
    """Guards against a refused job that callers can see, cancel or find running."""
    async with LoadedRig() as rig:
        path = f"/r/{JOB_ID}"
        rig.admission.update(load_of(FULL))
        assert (await rig.call("POST", "/r/00000000000000bb", BODY))[0] == 200
        status, headers, _ = await rig.call("POST", path, BODY)
        assert status == 429
        assert 2 <= int(headers["Retry-After"]) <= 5
        assert (await rig.call("GET", path))[0] == 410
        text = rig.metrics.render()
        assert 'submissions_rejected_total{reason="beyond_share"} 1' in text
        cancelled = "/r/00000000000000cc"
        assert (await rig.call("POST", cancelled, BODY))[0] == 429
        assert (await rig.call("DELETE", cancelled))[0] == 410
        rig.admission.update(load_of(QueueLoad(1.0, 2.0, full=False)))
        assert (await rig.call("POST", path, BODY))[0] == 200
        assert (await rig.call("GET", path))[0] == 200
        # One that was cancelled stays refused: its caller was told that it is gone.
        status, headers, _ = await rig.call("POST", cancelled, BODY)
        assert status == 503
        assert "Retry-After" not in headers
        assert (await rig.call("GET", cancelled))[0] == 410
        await until(lambda: len(rig.leader.applied) == 5)


async def test_the_load_in_the_answer_of_a_remote_leader_reaches_the_front():
    """Guards against a front that never refuses, as it does not read the answers."""

    class TellingLeader(FakeLeader):
        async def offer(self, address, rows) -> LoadSnapshot:
            await super().offer(address, rows)
            return load_of(FULL)

    leader, loads = TellingLeader(), []
    states = JobDirectory(leader, leader, leader, None, loads.append)
    states.notify_leader([Row(job_key(JOB_ID), 1, b"{}")])
    await until(lambda: bool(loads))
    assert loads[0].is_full("recon")


def test_work_that_waits_for_a_cap_is_no_wait_for_others() -> None:
    """Guards against refusing all customers for the backlog of a capped one."""

    async def body() -> None:
        site = FakeSite(servers=4, vms=1)
        capped = Customer("capped", weight=50.0, cap=Resources(8_000))
        site.configuration.value = configuration(capped)
        leader = await site.wait_for_leader()
        for _ in range(30):
            site.submit(STEP, customer="capped", task_s=5.0)
        await asyncio.sleep(3)
        assert leader.term.load().queues["recon"] == QueueLoad(0.0, 0.0, full=False)
        await site.close()

    run_virtual(body)


# Guards against free servers of an evacuated domain that keep admission off.
@pytest.mark.parametrize("evacuated", [False, True])
def test_free_capacity_of_an_evacuated_domain_does_not_count(evacuated: bool) -> None:
    async def body() -> None:
        site = FakeSite(servers=4, vms=3, domains=("a", "b"))
        vm = await site.wait_for_leader()
        await asyncio.sleep(1.0)
        if evacuated:
            site.evacuate("a")
        await asyncio.sleep(0.5)
        for _ in range(6):
            site.submit(STEP, task_s=20.0)
        await asyncio.sleep(1.0)
        load = vm.term.load()
        assert load is not None
        assert load.queues["recon"].full is evacuated
        await site.close()

    run_virtual(body)
