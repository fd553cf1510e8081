"""Tests of the slot client and service over gRPC on the loopback interface."""

import asyncio
from collections.abc import Sequence
from contextlib import asynccontextmanager
from datetime import timedelta

import grpc.aio
import pytest

from cassiaweir.clock import SystemClock
from cassiaweir.exceptions import RefusedError
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.requests import SlotBroker, SlotClient, SlotService
from cassiaweir.requests._models import SlotOutcome
from cassiaweir.rpc import cell_pb2_grpc
from cassiaweir.types import Resources, ShardOwner, Vm, VmRole, VmState
from cassiaweir.verdict import Verdict
from tests.test_requests_helpers import make_request

SLOTS = 2


def make_backend_vm(name, domain, state=VmState.LIVE) -> Vm:
    return Vm(
        name=name,
        role=VmRole.BACKEND,
        address=f"{name}:1",
        failure_domain=domain,
        rack="r1",
        incarnation="1",
        state=state,
        service="inventory",
        slots=SLOTS,
    )


class Owner:
    """The slot service of a scheduler that owns the shard of a failure domain."""

    def __init__(self, domain: str) -> None:
        self.domain = domain
        self.vms = [make_backend_vm(f"{domain}-s1", domain)]
        self.address = ""
        self.owns = True

    async def fetch(self) -> list[Vm]:
        return self.vms

    def owned(self) -> Sequence[ShardOwner]:
        return [self.shard_owner()] if self.owns else []

    def shard_owner(self) -> ShardOwner:
        return ShardOwner(
            shard=f"{self.domain}-0",
            failure_domain=self.domain,
            process=f"scheduler-{self.domain}",
            address=self.address,
            epoch=1,
            capacity=Resources(),
            free=Resources(),
            queued_tasks=0,
            running_tasks=0,
        )

    @asynccontextmanager
    async def running(self, port: int = 0):
        clock = SystemClock()
        self.broker = SlotBroker(
            clock,
            max_request_time=timedelta(seconds=10),
            margin=timedelta(seconds=2),
            queue_limit=8,
            share=lambda team: 1.0,
        )
        service = SlotService(
            self.broker,
            self,
            self,
            shard_of=lambda vm: f"{vm.failure_domain}-0",
            gateways=lambda: ["gateway-1"],
            vm_poll=timedelta(milliseconds=20),
            clock=clock,
            events=EventLog("scheduler", clock),
            metrics=Metrics(),
        )
        rpc = grpc.aio.server()
        cell_pb2_grpc.add_SlotsServicer_to_server(service, rpc)
        bound = rpc.add_insecure_port(f"127.0.0.1:{port}")
        self.address = f"127.0.0.1:{bound}"
        await service.start()
        await rpc.start()
        try:
            yield self
        finally:
            await service.stop()
            await rpc.stop(None)


class Directory:
    """Implements the `ShardDirectory` protocol with the owners of a test."""

    def __init__(self, *owners: Owner) -> None:
        self.list = list(owners)

    def owners(self) -> Sequence[ShardOwner]:
        return [owner.shard_owner() for owner in self.list]

    def owner(self, shard: str) -> ShardOwner | None:
        found = [owner for owner in self.owners() if owner.shard == shard]
        return found[0] if found else None


@asynccontextmanager
async def running_client(*owners: Owner):
    """Run the slot client of a gateway in augusta, connected to all owners."""
    clock = SystemClock()
    client = SlotClient(
        Directory(*owners),
        process="gateway-1",
        failure_domain="augusta",
        clock=clock,
        events=EventLog("gateway-1", clock),
    )
    await client.start()
    try:
        await wait_until(
            lambda: all(stream.loads for stream in client._streams.values())
        )
        yield client
    finally:
        await client.stop()


async def wait_until(condition) -> None:
    """Wait until other tasks have made `condition` return True."""
    async with asyncio.timeout(20):
        for _ in iter(condition, True):
            await asyncio.sleep(0.005)


def acquire_slot(client, **changes):
    return client.acquire(make_request(**changes), frozenset())


async def test_slots_come_from_the_gateways_own_failure_domain_first():
    async with (
        Owner("priolo").running() as priolo,
        Owner("augusta").running() as augusta,
        running_client(priolo, augusta) as client,
    ):
        backends = [(await acquire_slot(client)).backend for _ in range(2 * SLOTS)]
    assert backends == ["augusta-s1"] * SLOTS + ["priolo-s1"] * SLOTS


async def test_a_released_slot_goes_to_the_waiting_request():
    async with Owner("augusta").running() as owner, running_client(owner) as client:
        held_slots = [await acquire_slot(client) for _ in range(SLOTS)]
        waiting = asyncio.create_task(acquire_slot(client))
        await wait_until(lambda: owner.broker.load("inventory").waiting == 1)
        client.release(held_slots[0], SlotOutcome.FREE)
        assert (await waiting).backend == "augusta-s1"


async def test_a_cancelled_request_leaves_the_queue():
    async with Owner("augusta").running() as owner, running_client(owner) as client:
        for _ in range(SLOTS):
            await acquire_slot(client)
        waiting = asyncio.create_task(acquire_slot(client))
        await wait_until(lambda: owner.broker.load("inventory").waiting == 1)
        waiting.cancel()
        await wait_until(lambda: owner.broker.load("inventory").waiting == 0)


async def test_a_lost_owner_refuses_waiting_requests_and_gets_held_slots_on_return():
    owner = Owner("augusta")
    async with running_client() as client:
        client._directory.list.append(owner)
        async with owner.running():
            port = int(owner.address.rpartition(":")[2])
            await wait_until(
                lambda: any(stream.loads for stream in client._streams.values())
            )
            held_slots = [await acquire_slot(client) for _ in range(SLOTS)]
            waiting = asyncio.create_task(acquire_slot(client))
            await wait_until(lambda: owner.broker.load("inventory").waiting == 1)
        with pytest.raises(RefusedError) as caught:
            await waiting
        assert caught.value.verdict is Verdict.NOT_RUN
        async with owner.running(port):
            await wait_until(lambda: owner.broker.count_grants("augusta-s1") == SLOTS)
            client.release(held_slots[0], SlotOutcome.FREE)
            await wait_until(
                lambda: owner.broker.count_grants("augusta-s1") == SLOTS - 1
            )


async def test_a_leaving_server_gets_no_new_grants():
    async with Owner("augusta").running() as owner, running_client(owner) as client:
        await acquire_slot(client)
        owner.vms = [make_backend_vm("augusta-s1", "augusta", VmState.LEAVING)]
        await wait_until(lambda: owner.broker.load("inventory").slots == 0)
        with pytest.raises(RefusedError) as caught:
            await acquire_slot(client)
    assert caught.value.reason == "no_backend"


async def test_a_request_without_an_owner_is_refused_at_once():
    async with running_client() as client:
        with pytest.raises(RefusedError) as caught:
            await acquire_slot(client)
    assert (caught.value.reason, caught.value.verdict) == ("no_owner", Verdict.NOT_RUN)


async def test_an_owner_that_lost_its_shard_grants_nothing():
    async with Owner("augusta").running() as owner, running_client(owner) as client:
        await acquire_slot(client)
        owner.owns = False
        with pytest.raises(RefusedError) as caught:
            await acquire_slot(client)
    assert caught.value.reason == "no_backend"
