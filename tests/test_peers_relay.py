"""Tests of store calls relayed between entry VMs over a real gRPC connection."""

from __future__ import annotations

from datetime import timedelta

import pytest

from cassiaweir.clock import SystemClock
from cassiaweir.exceptions import UnavailableError
from cassiaweir.observe import EventLog
from cassiaweir.peers import NodeServicer, PeerClient
from cassiaweir.rpc._server import Channels, RpcServer
from cassiaweir.verdict import Verdict

WAIT = timedelta(0)
TIMEOUT = timedelta(seconds=5)
LARGE_BODY = b'{"host":"h","prefix":"/a/"}' * 4_000


class FakeRelay:
    """Answers relayed calls with `body`, or fails with the verdict `failure`."""

    directly_reachable = True

    def __init__(self) -> None:
        self.body = LARGE_BODY
        self.failure: Verdict | None = None

    async def relay(self, method, path, data, wait):
        if self.failure is not None:
            raise UnavailableError("store call failed", verdict=self.failure)
        return 200, self.body


@pytest.fixture
async def rig():
    relay = FakeRelay()
    servicer = NodeServicer(None, None, relay)
    events = EventLog("vm", SystemClock())
    server = RpcServer("127.0.0.1:0", [servicer.register], events)
    channels = Channels()
    await server.start()
    yield relay, PeerClient(channels), server.bound_address
    await channels.stop()
    await server.stop()


@pytest.mark.parametrize("body", [b"{}", LARGE_BODY])
async def test_small_and_large_answers_are_relayed_unchanged(rig, body):
    relay, client, address = rig
    relay.body = body
    answer = await client.relay(address, "GET", "/rows-feed", None, WAIT, TIMEOUT)
    assert answer == (200, body)


@pytest.mark.parametrize("verdict", [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
async def test_a_relay_failure_keeps_the_verdict_of_the_store_call(rig, verdict):
    relay, client, address = rig
    relay.failure = verdict
    with pytest.raises(UnavailableError) as excinfo:
        await client.relay(address, "POST", "/rows-tx", b"{}", WAIT, TIMEOUT)
    assert excinfo.value.verdict is verdict
