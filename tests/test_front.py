"""Tests of `cassiaweir.front`: access checks, storing of jobs, responses to callers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import replace
from datetime import timedelta

import aiohttp
import msgspec
import pytest

from cassiaweir.clock import SystemClock
from cassiaweir.dispatch import cancel_key, job_key, outcome_key
from cassiaweir.exceptions import InvalidInputError, RefusedError, UnavailableError
from cassiaweir.feeds import TableWatch
from cassiaweir.front import AccessChecker, FrontServer, JobDirectory, JobWriter
from cassiaweir.front._access import Access, Denial
from cassiaweir.front._cancels import CancelResult
from cassiaweir.jobs import JobSpec, JobState, StepSpec
from cassiaweir.leadership import Owner
from cassiaweir.observe import Metrics
from cassiaweir.platform import PlatformJobCodec
from cassiaweir.queues import ConfigurationView, Queue, QueueConfiguration
from cassiaweir.scheduling import LoadSnapshot
from cassiaweir.types import Resources, Row, Write
from cassiaweir.verdict import Verdict
from tests.site_fakes import (
    CUSTOMER,
    QUEUE,
    MemoryStore,
    VmStore,
    configuration,
)
from tests.virtual_time import VirtualClock, run_virtual
from tests.waiting import until

PUBLIC = Queue(name="open", host="h", prefix="/p/", service="s", public=True)
JOB_ID = "00000000000000aa"
WITHDRAWAL = timedelta(seconds=5)
CONFIG_KEY = "op//config"
CAP = Resources(4_000)


def spec_of(job_id: str) -> JobSpec:
    return JobSpec(job_id, QUEUE, "c", "x", (StepSpec(count=1),), 0.0)


class FakeLeader:
    """The local leader, the client of a remote one, and the source of its address."""

    def __init__(self) -> None:
        self.serving_epoch = 0
        self.states: dict[str, JobState] = {}
        self.applied: list[Row] = []
        self.reachable = True
        self.answer_s = 0.0
        self.queries = 0
        self.offers: list[int] = []
        self.load: LoadSnapshot | None = None

    def owner(self) -> Owner | None:
        return Owner(1, "n", "i", "address")

    def apply_rows(self, rows: Sequence[Row]) -> None:
        self.applied += rows

    def job_state(self, *args: str):
        """Serve `LocalLeader` with one argument and `LeaderClient` with two."""
        if len(args) == 1:
            return self.states.get(args[0]) if self.serving_epoch else None
        return self._remote_state(args[1])

    async def _remote_state(self, job_id: str) -> JobState | None:
        self.queries += 1
        if self.answer_s:
            await asyncio.sleep(self.answer_s)
        if not self.reachable:
            raise UnavailableError("cut", verdict=Verdict.NOT_RUN)
        return self.states.get(job_id)

    def count_pending(self, queue: str) -> int:
        return 3

    async def pending(self, address: str, queue: str) -> int:
        if not self.reachable:
            raise UnavailableError("cut", verdict=Verdict.NOT_RUN)
        return 4

    async def offer(self, address: str, rows: Sequence[Row]) -> LoadSnapshot | None:
        self.offers.append(len(rows))
        if self.answer_s:
            await asyncio.sleep(self.answer_s)
        if not self.reachable:
            raise UnavailableError("cut", verdict=Verdict.NOT_RUN)
        self.applied += rows
        return self.load


class Rig:
    """The parts of a front on a store in memory."""

    def __init__(self, clock=None) -> None:
        self.clock = clock or VirtualClock()
        self.store = MemoryStore()
        self.node = VmStore(self.store, random.Random(1))
        self.leader = FakeLeader()
        self.store_unreachable = False
        self.states = JobDirectory(
            self.leader, self.leader, self.leader, self.node, clock=self.clock
        )
        self.submissions = JobWriter(
            self.node,
            self.clock,
            self.states,
            store_unreachable=lambda: self.store_unreachable,
        )
        self.view = ConfigurationView(CONFIG_KEY, self._decode)
        self.watch = TableWatch(
            self.node,
            ["op//"],
            self.clock,
            wait=timedelta(milliseconds=500),
            listener=self.view,
        )
        self.access = AccessChecker(self.view, self.watch, WITHDRAWAL)

    def _decode(self, raw: bytes) -> QueueConfiguration:
        version, with_key = msgspec.json.decode(raw)
        customers = (replace(CUSTOMER, cap=CAP),) if with_key else ()
        base = configuration(*customers, queues=(QUEUE, PUBLIC))
        keys = () if with_key else ("none",)
        return QueueConfiguration.build(
            version,
            base.queues,
            list(base.services.values()),
            [] if keys else list(base.customers.values()),
            1_000,
        )

    def configure(self, version: int, *, with_key: bool) -> None:
        """Store a version of the configuration, with the customer's key or without."""
        value = msgspec.json.encode([version, with_key])
        self.store.apply([], [Write(CONFIG_KEY, value)])


def test_access_is_checked_by_path_prefix_and_key() -> None:
    async def body() -> None:
        rig = Rig()
        assert rig.access.find("h", "/r/1", "key") is Denial.NO_CONFIGURATION
        rig.configure(1, with_key=True)
        await rig.watch.start()
        await asyncio.sleep(0.1)
        found = rig.access.find("h", "/r/1", "key")
        assert isinstance(found, Access)
        assert found.customer is not None
        assert rig.access.find("h", "/r/1", "other") is Denial.UNKNOWN_KEY
        assert rig.access.find("h", "/r/1", "") is Denial.UNKNOWN_KEY
        assert rig.access.find("h", "/none/1", "key") is Denial.NO_QUEUE
        assert isinstance(rig.access.find("h", "/p/1", ""), Access)
        await rig.watch.stop()

    run_virtual(body)


def test_a_withdrawn_key_is_refused_even_if_the_store_is_unreachable() -> None:
    async def body() -> None:
        rig = Rig()
        rig.configure(1, with_key=True)
        await rig.watch.start()
        await asyncio.sleep(0.1)
        rig.node.fault_mode = "silent"
        rig.configure(2, with_key=False)
        withdrawn_at = asyncio.get_running_loop().time()
        await until(lambda: not isinstance(rig.access.find("h", "/r/1", "key"), Access))
        assert asyncio.get_running_loop().time() - withdrawn_at < 5
        assert rig.access.find("h", "/r/1", "key") is Denial.STALE_KEYS
        assert isinstance(rig.access.find("h", "/p/1", ""), Access)
        rig.node.fault_mode = ""
        await asyncio.sleep(3)
        assert rig.access.find("h", "/r/1", "key") is Denial.UNKNOWN_KEY
        await rig.watch.stop()

    run_virtual(body)


def test_an_older_configuration_does_not_replace_a_newer_one() -> None:
    async def body() -> None:
        rig = Rig()
        for version in (5, 3):
            value = msgspec.json.encode([version, True])
            rig.view.on_row(CONFIG_KEY, Row(CONFIG_KEY, version, value))
        assert rig.view.current().version == 5

    run_virtual(body)


def test_jobs_are_stored_once_and_passed_to_the_leader() -> None:
    async def body() -> None:
        rig = Rig()
        specs = [spec_of(f"{number:016x}") for number in range(40)]
        await asyncio.gather(*(rig.submissions.submit(spec) for spec in specs))
        await asyncio.gather(*(rig.submissions.submit(spec) for spec in specs[:5]))
        await asyncio.sleep(0.1)
        assert sum(key.startswith("jobs/") for key in rig.store.rows) == 40
        assert len(rig.leader.applied) == 40

    run_virtual(body)


@pytest.mark.parametrize("fault", ["lossy", "late"])
def test_a_job_is_stored_once_when_the_store_answer_is_lost(fault: str) -> None:
    async def body() -> None:
        rig = Rig()
        rig.node.fault_mode = fault
        results = await asyncio.gather(
            *(rig.submissions.submit(spec_of(f"{n:016x}")) for n in range(16)),
            return_exceptions=True,
        )
        rig.node.fault_mode = ""
        await asyncio.sleep(8)
        for number, result in enumerate(results):
            stored = job_key(f"{number:016x}") in rig.store.rows
            assert result is not None or stored
            assert not isinstance(result, RefusedError) or not stored

    run_virtual(body)


def test_only_jobs_that_are_never_stored_are_reported_as_not_run() -> None:
    async def body() -> None:
        rig = Rig()
        rig.node.fault_mode = "busy"
        with pytest.raises(RefusedError):
            await rig.submissions.submit(spec_of(JOB_ID))
        rig.node.fault_mode = "silent"
        with pytest.raises(UnavailableError) as caught:
            await rig.submissions.submit(spec_of(JOB_ID))
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN

    run_virtual(body)


def test_jobs_are_refused_at_once_while_the_store_is_unreachable() -> None:
    async def body() -> None:
        rig = Rig()
        rig.store_unreachable = True
        began = asyncio.get_running_loop().time()
        with pytest.raises(RefusedError):
            await rig.submissions.submit(spec_of(JOB_ID))
        assert asyncio.get_running_loop().time() == began

    run_virtual(body)


def test_cancel_result_depends_on_the_stored_job_and_outcome() -> None:
    async def body() -> None:
        rig = Rig()
        cancel = rig.submissions.cancel
        unknown = "00000000000000ff"
        assert await cancel(unknown) is CancelResult.UNKNOWN_JOB
        with pytest.raises(RefusedError, match="cancelled"):
            await rig.submissions.submit(spec_of(unknown))
        await rig.submissions.submit(spec_of(JOB_ID))
        assert await cancel(JOB_ID) is CancelResult.CANCELLED
        assert cancel_key(JOB_ID) in rig.store.rows
        value = b'{"outcome":"done"}'
        rig.store.apply([], [Write(outcome_key(JOB_ID), value)])
        assert await cancel(JOB_ID) is CancelResult.ENDED

    run_virtual(body)


def test_job_state_is_read_from_the_leader_or_else_the_store() -> None:
    async def body() -> None:
        rig = Rig()
        rig.leader.states[JOB_ID] = JobState.RUNNING
        assert await rig.states.job_state(JOB_ID) is JobState.RUNNING
        rig.leader.reachable = False
        assert await rig.states.job_state(JOB_ID) is None
        await rig.submissions.submit(spec_of(JOB_ID))
        assert await rig.states.job_state(JOB_ID) is JobState.QUEUED
        rig.store.apply([], [Write(outcome_key(JOB_ID), b'{"outcome":"failed"}')])
        assert await rig.states.job_state(JOB_ID) is JobState.FAILED
        rig.node.fault_mode = "busy"
        with pytest.raises(UnavailableError):
            await rig.states.job_state(JOB_ID)

    run_virtual(body)


def slow_rig() -> Rig:
    """Return a front whose leader has no processor time, and a job that is stored."""
    rig = Rig()
    rig.leader.answer_s = 0.4
    rig.leader.reachable = False
    rig.store.apply([], [Write(job_key(JOB_ID), spec_of(JOB_ID).encode())])
    return rig


# Guards against SHORT by jobs that end in time, of which the caller learns 0.4 s late:
# the leader was asked about each, and had no time to answer.
def test_the_stored_end_of_a_job_is_shown_while_the_leader_does_not_answer() -> None:
    async def body() -> None:
        rig = slow_rig()
        rig.store.apply([], [Write(outcome_key(JOB_ID), b'{"outcome":"done"}')])
        began_at = rig.clock.monotonic()
        assert await rig.states.job_state(JOB_ID) is JobState.DONE
        assert rig.clock.monotonic() - began_at < 0.15

    run_virtual(body)


# Guards against queries that take the processor time of a leader that has none left.
def test_a_leader_that_does_not_answer_in_time_is_asked_seldom() -> None:
    async def body() -> None:
        rig = slow_rig()
        for _ in range(40):
            assert await rig.states.job_state(JOB_ID) is JobState.QUEUED
            await asyncio.sleep(0.05)
        assert rig.leader.queries <= 5

    run_virtual(body)


# Guards against a job that is shown as queued after it was shown as running.
def test_the_state_of_a_job_does_not_go_back_when_the_store_answers() -> None:
    async def body() -> None:
        rig = slow_rig()
        rig.leader.answer_s, rig.leader.reachable = 0.0, True
        rig.leader.states[JOB_ID] = JobState.RUNNING
        assert await rig.states.job_state(JOB_ID) is JobState.RUNNING
        rig.leader.reachable = False
        assert await rig.states.job_state(JOB_ID) is JobState.RUNNING

    run_virtual(body)


# Guards against requests for the number of pending jobs that fail while the leader has
# no processor time: 231 of them in the seconds of a burst.
def test_the_number_of_pending_jobs_is_known_while_the_leader_does_not_answer() -> None:
    async def body() -> None:
        rig = Rig()
        rig.leader.load = LoadSnapshot(1, 0.0, pending={QUEUE.name: 7})
        await rig.submissions.submit(spec_of(JOB_ID))
        await asyncio.sleep(0.5)
        rig.leader.reachable = False
        assert await rig.states.count_pending(QUEUE.name) == 7
        await asyncio.sleep(1.0)
        assert await rig.states.count_pending(QUEUE.name) == 7
        rig.leader.reachable = True
        assert await rig.states.count_pending(QUEUE.name) == 4
        rig.leader.reachable = False
        await asyncio.sleep(1.0)
        with pytest.raises(UnavailableError):
            await rig.states.count_pending(QUEUE.name)

    run_virtual(body)


# Guards against a leader that gets more notifications than it accepts while it is busy:
# 300 a second, none of which was answered in time.
def test_jobs_are_announced_to_a_busy_leader_together() -> None:
    async def body() -> None:
        rig = Rig()
        rig.leader.answer_s = 0.5
        ids = [f"{number:016x}" for number in range(120)]
        for job_id in ids:
            await rig.submissions.submit(spec_of(job_id))
        await asyncio.sleep(2.0)
        assert {row.key for row in rig.leader.applied} == {
            job_key(each) for each in ids
        }
        assert len(rig.leader.offers) <= 5

    run_virtual(body)


class HttpRig(Rig):
    """A front that listens on loopback addresses."""

    def __init__(self) -> None:
        super().__init__(SystemClock())
        self.ready = True
        self.front = FrontServer(
            front_address="127.0.0.1:0",
            ready_address="127.0.0.1:0",
            access=self.access,
            submissions=self.submissions,
            states=self.states,
            codec=PlatformJobCodec(),
            clock=self.clock,
            metrics=Metrics(),
            is_ready=lambda: self.ready,
        )

    async def __aenter__(self) -> HttpRig:
        self.configure(1, with_key=True)
        await self.watch.start()
        await self.front.start()
        self.session = aiohttp.ClientSession(headers={"Host": "h:80"})
        await until(lambda: self.view.known)
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.session.close()
        await self.front.stop()
        await self.watch.stop()

    async def call(self, method: str, path: str, data=None, key="key", listener=0):
        """Send a request; return status, headers and body of the response.

        `listener` is 0 for the address for callers and 1 for that for readiness checks.
        """
        runner = self.front._runners[listener]
        host, port = runner.addresses[0]
        headers = {"X-Credential": key, "Content-Type": "application/json"}
        url = f"http://{host}:{port}{path}"
        async with self.session.request(
            method, url, data=data, headers=headers
        ) as resp:
            return resp.status, resp.headers, await resp.read()


BODY = b'{"spec":"x","steps":[{"count":1,"cpu":500}]}'


async def test_a_job_is_submitted_queried_and_cancelled_over_http():
    async with HttpRig() as rig:
        assert (await rig.call("POST", f"/r/{JOB_ID}", BODY))[0] == 200
        status, _, body = await rig.call("GET", f"/r/{JOB_ID}")
        assert (status, body) == (200, b'{"state":"queued"}')
        assert (await rig.call("GET", "/r/"))[2] == b'{"pending":4}'
        assert (await rig.call("DELETE", f"/r/{JOB_ID}"))[0] == 200
        assert (await rig.call("GET", "/r/00000000000000bb"))[0] == 410


# Guards against a leader that does not know the cap of a customer that was just added.
async def test_a_job_is_stored_with_the_cap_and_version_under_which_it_was_accepted():
    async with HttpRig() as rig:
        await rig.call("POST", f"/r/{JOB_ID}", BODY)
        spec = JobSpec.decode(rig.store.rows[job_key(JOB_ID)].value)
        assert (spec.cap, spec.configuration) == (CAP, 1)


@pytest.mark.parametrize(
    ("method", "path", "data", "key", "status"),
    [
        ("POST", f"/r/{JOB_ID}", b"{", "key", 400),
        ("POST", f"/r/{JOB_ID}", b"x" * 2_000, "key", 413),
        ("POST", "/r/short", BODY, "key", 400),
        ("PUT", f"/r/{JOB_ID}", BODY, "key", 405),
        ("POST", f"/r/{JOB_ID}", BODY, "bad", 401),
        ("POST", f"/none/{JOB_ID}", BODY, "key", 404),
        ("GET", f"/p/{JOB_ID}", None, "", 410),
    ],
)
async def test_invalid_requests_get_the_expected_status(
    method, path, data, key, status
):
    async with HttpRig() as rig:
        assert (await rig.call(method, path, data, key))[0] == status


async def test_refusals_carry_a_retry_after_header():
    async with HttpRig() as rig:
        rig.store_unreachable = True
        status, headers, _ = await rig.call("POST", f"/r/{JOB_ID}", BODY)
        assert (status, headers["Retry-After"]) == (503, "1")


async def test_the_readiness_check_follows_is_ready():
    async with HttpRig() as rig:
        assert (await rig.call("GET", "/ready", listener=1))[0] == 200
        rig.ready = False
        assert (await rig.call("GET", "/ready", listener=1))[0] == 503


# Guards against the memory that a job takes until the store refuses its row (issue 56).
def test_a_job_that_is_too_large_for_a_row_is_not_sent_to_the_store() -> None:
    async def body() -> None:
        rig = Rig()
        small = spec_of(JOB_ID)
        large = replace(small, job_id=JOB_ID[:-1] + "b", steps=small.steps * 200)
        writer = JobWriter(
            rig.node,
            rig.clock,
            rig.states,
            store_unreachable=lambda: False,
            max_row_bytes=len(small.encode()),
        )
        await writer.submit(small)
        version = rig.store.version
        with pytest.raises(InvalidInputError, match="cannot be stored"):
            await writer.submit(large)
        await asyncio.sleep(5)
        assert rig.store.version == version
        assert job_key(large.job_id) not in rig.store.rows

    run_virtual(body)
