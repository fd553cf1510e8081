"""Tests that an entry VM ends within the platform's grace time after a stop signal.

Pattern: VMs are stopped in turn while the store does not answer.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta

from cassiaweir.composition import _front_vm
from cassiaweir.feeds import TableWatch
from cassiaweir.front import _app
from cassiaweir.leadership import _election
from cassiaweir.observe import EventLog
from cassiaweir.peers import MEMBERS_PREFIX, Members, _members
from cassiaweir.rpc import node_pb2, node_pb2_grpc
from cassiaweir.rpc._server import Channels, RpcServer
from tests.site_fakes import FakeSite
from tests.virtual_time import VirtualClock, run_virtual

GRACE = timedelta(seconds=6)


def test_the_times_of_a_stop_fit_into_the_grace_time() -> None:
    """Guards against a stop that takes longer than the platform waits."""
    times = (
        _app.DRAIN_DELAY,
        _election.RELEASE_TIMEOUT,
        _members.REMOVAL_TIMEOUT,
        timedelta(seconds=_app.SHUTDOWN_TIMEOUT_S),
        _front_vm.RPC_STOP_GRACE * 2,
    )
    assert sum(times, timedelta(0)) < GRACE


# Guards against a leader that waits for a silent store until it is killed.
def test_a_stopping_leader_does_not_wait_for_a_silent_store() -> None:
    async def body() -> None:
        site = FakeSite()
        leader = await site.wait_for_leader()
        leader.store.fault_mode = "silent"
        began = asyncio.get_running_loop().time()
        await leader.election.stop()
        took = asyncio.get_running_loop().time() - began
        assert took <= _election.RELEASE_TIMEOUT.total_seconds() + 0.1
        assert not leader.election.leading
        await site.close()

    run_virtual(body)


# Guards against a VM that waits for a silent store to remove its row.
def test_a_stopping_vm_does_not_wait_for_the_removal_of_its_row() -> None:
    async def body() -> None:
        site = FakeSite(vms=1)
        store, clock = site.vms[0].store, VirtualClock()
        watch = TableWatch(store, [MEMBERS_PREFIX], clock, wait=timedelta(seconds=1))
        members = Members(
            store,
            watch,
            clock,
            node="n",
            instance="i",
            address="a",
            seeds=(),
            cores=1.0,
        )
        await members.start()
        await asyncio.sleep(0.1)
        store.fault_mode = "silent"
        began = asyncio.get_running_loop().time()
        await members.stop()
        took = asyncio.get_running_loop().time() - began
        assert took <= _members.REMOVAL_TIMEOUT.total_seconds() + 0.1
        await site.close()

    run_virtual(body)


class _SlowNode(node_pb2_grpc.NodeServicer):
    async def Relay(self, request, context):  # noqa: N802
        """Answer after a long poll."""
        await asyncio.sleep(30)
        return node_pb2.RelayAnswer()


# Guards against long polls on behalf of peers that keep a stopped VM alive.
async def test_calls_of_peers_do_not_hold_up_a_stop() -> None:
    def register(server: object) -> None:
        node_pb2_grpc.add_NodeServicer_to_server(_SlowNode(), server)

    events = EventLog("vm", VirtualClock())
    server = RpcServer(
        "127.0.0.1:0", [register], events, stop_grace=_front_vm.RPC_STOP_GRACE
    )
    await server.start()
    channels = Channels(stop_grace=_front_vm.RPC_STOP_GRACE)
    stub = node_pb2_grpc.NodeStub(channels.get(server.bound_address))
    call = asyncio.ensure_future(stub.Relay(node_pb2.RelayRequest()))
    await asyncio.sleep(0.1)
    async with asyncio.timeout(3):
        await server.stop()
        await channels.stop()
    await asyncio.gather(call, return_exceptions=True)
