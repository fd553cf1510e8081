"""Tests of the platform's clients, over HTTP, against stand-ins of its services."""

import contextlib
from datetime import timedelta

import pytest

from cassiaweir.clock import SystemClock
from cassiaweir.exceptions import ConflictError, NotFoundError, UnavailableError
from cassiaweir.platform import (
    HttpObjectStore,
    HttpTable,
    HttpVmList,
    HttpWorkers,
    PlatformSession,
)
from cassiaweir.store import scan_in_pages
from cassiaweir.types import (
    Check,
    Command,
    Resources,
    TaskId,
    TaskStart,
    TaskState,
    Vm,
    VmRole,
    VmState,
    Write,
)
from cassiaweir.verdict import Verdict
from standins._ledger import Ledger
from standins._objects import ObjectService
from standins._table import TableService
from standins._vms import VmListService, VmRegistry
from standins._worker import SimulatedWorker
from standins._worker_service import WorkerService

ANY_PORT = "127.0.0.1:0"
FAR_FUTURE_S = 1e12


@contextlib.asynccontextmanager
async def served(service, *, timeout=timedelta(seconds=20)):
    session = PlatformSession("augusta-1", timeout)
    await session.start()
    address = await service.listen(ANY_PORT)
    try:
        yield session, address
    finally:
        await session.stop()
        await service.close()


async def test_the_table_commits_reads_and_scans():
    async with served(TableService()) as (session, address):
        table = HttpTable(session, address, SystemClock())
        versions = await table.commit(
            [Check("job/a", 0)], [Write("job/a", b"1"), Write("job/b", b"\xff")]
        )
        rows = await table.read(["job/a", "job/none"])
        assert rows["job/a"].value == b"1"
        assert rows["job/a"].version == versions["job/a"]
        assert [row.value for row in await table.scan("job/")] == [b"1", b"\xff"]
        with pytest.raises(ConflictError):
            await table.commit([Check("job/a", 0)], [Write("job/a", b"2")])


async def test_a_scan_is_read_in_pages():
    async with served(TableService()) as (session, address):
        table = HttpTable(session, address, SystemClock())
        keys = [f"job/{number}" for number in range(5)]
        writes = [Write(key, key.encode()) for key in (*keys, "jobs")]
        await table.commit([], writes)
        page = await table.scan("job/", after="job/0", limit=2)
        assert [row.key for row in page] == keys[1:3]
        assert page[0].value == b"job/1"
        assert [row.key for row in await table.scan("job/", after="job/3")] == keys[4:]
        assert await table.scan("job/", after="job/4", limit=2) == []
        for size in (1, 2, 5, 6):
            rows = await scan_in_pages(table, "job/", page=size)
            assert [row.key for row in rows] == keys


async def test_an_unavailable_table_reports_not_run():
    service = TableService()
    service.faults.down = True
    async with served(service) as (session, address):
        table = HttpTable(session, address, SystemClock())
        with pytest.raises(UnavailableError) as caught:
            await table.commit([], [Write("a", b"1")])
        assert caught.value.verdict is Verdict.NOT_RUN


async def test_a_refused_connection_reports_not_run():
    service = TableService()
    async with served(service) as (session, address):
        await service.close()
        table = HttpTable(session, address, SystemClock())
        with pytest.raises(UnavailableError) as caught:
            await table.commit([], [Write("a", b"1")])
        assert caught.value.verdict is Verdict.NOT_RUN


async def test_objects_are_stored_and_missing_ones_raise_not_found_error():
    async with served(ObjectService()) as (session, address):
        store = HttpObjectStore(session, address)
        await store.put("a/b c", b"\x00body")
        assert await store.get("a/b c") == b"\x00body"
        with pytest.raises(NotFoundError):
            await store.get("none")


async def test_the_vm_list_lags():
    now = 0.0
    registry = VmRegistry(lag=5.0, now=lambda: now)
    vm = worker_vm(ANY_PORT)
    registry.add(vm)
    registry.forget_history()
    async with served(VmListService(registry)) as (session, address):
        vms = HttpVmList(session, address)
        now = 10.0
        registry.leave(vm.name)
        assert [item.state for item in await vms.fetch()] == [VmState.LIVE]
        now = 15.0
        assert [item.state for item in await vms.fetch()] == [VmState.LEAVING]


async def test_an_unchanged_vm_list_is_not_sent_again():
    registry = VmRegistry(lag=0.0)
    registry.add(worker_vm(ANY_PORT))
    async with served(VmListService(registry)) as (session, address):
        vms = HttpVmList(session, address)
        first = await vms.fetch()
        assert await vms.fetch() is first
        registry.leave(first[0].name)
        assert [item.state for item in await vms.fetch()] == [VmState.LEAVING]


async def test_a_worker_obeys_commands_over_http():
    ledger = Ledger(lambda: 100.0)
    simulated = SimulatedWorker("w", Resources(4000, 4000), ledger, incarnation="w.0")
    async with served(WorkerService(simulated)) as (session, address):
        worker = HttpWorkers(session).connect(worker_vm(address))
        command = Command("augusta-0", 3, FAR_FUTURE_S)
        start = TaskStart(TaskId("j", 0), 1, "team", Resources(1000, 1), "forever")
        report = await worker.start(command, timedelta(seconds=9), [start])
        assert [task.state for task in report.tasks] == [TaskState.RUNNING]
        report = await worker.stop(command, [start.task], checkpoint=True)
        assert [task.state for task in report.tasks] == [TaskState.CHECKPOINTED]
        report = await worker.renew(command, timedelta(seconds=9), report.tasks)
        assert report.tasks == []
        assert (await worker.list()).epoch == 3
        expired = Command("augusta-0", 3, 99.0)
        with pytest.raises(UnavailableError) as caught:
            await worker.start(expired, timedelta(seconds=9), [start])
        assert caught.value.verdict is Verdict.NOT_RUN


def worker_vm(address: str) -> Vm:
    return Vm(
        name="w",
        role=VmRole.WORKER,
        address=address,
        failure_domain="augusta",
        rack="r",
        incarnation="w.0",
        state=VmState.LIVE,
        capacity=Resources(4000, 4000),
    )
