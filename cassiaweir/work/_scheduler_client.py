"""Calls from gateways to the schedulers that own shards."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

import grpc

from cassiaweir.exceptions import UnavailableError
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from cassiaweir.verdict import Verdict


@dataclass(frozen=True, slots=True)
class PartAnswer:
    """The live state of the part of a job in one shard."""

    shard: str
    queued: int
    running: int
    succeeded: int
    failed: int
    waiting_reason: str


class SchedulerCalls(Protocol):
    """The calls that a scheduler answers; both raise `UnavailableError`."""

    async def notify_parts(self, address: str, shard: str, job: str) -> None:
        """Tell the owner of `shard` to look at the part of `job`."""

    async def query_job(self, address: str, job: str) -> list[PartAnswer]:
        """Return the live state of the parts of `job` that the process owns."""


class SchedulerClient:
    """Implements `SchedulerCalls` over gRPC, with one channel for each address."""

    def __init__(self, timeout: timedelta) -> None:
        self._timeout = timeout.total_seconds()
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def start(self) -> None:
        """Do nothing; channels are opened with the first call."""

    async def stop(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()

    async def notify_parts(self, address: str, shard: str, job: str) -> None:
        """Tell the owner of `shard` to look at the part of `job`."""
        req = cell_pb2.PartsCommitted(shard=shard, job=job)
        try:
            await self._stub(address).NotifyParts(req, timeout=self._timeout)
        except grpc.aio.AioRpcError as exc:
            raise _unavailable(address, exc) from exc

    async def query_job(self, address: str, job: str) -> list[PartAnswer]:
        """Return the live state of the parts of `job` that the process owns."""
        req = cell_pb2.JobQuery(job=job)
        try:
            answer = await self._stub(address).QueryJob(req, timeout=self._timeout)
        except grpc.aio.AioRpcError as exc:
            raise _unavailable(address, exc) from exc
        return [
            PartAnswer(
                part.shard,
                part.queued,
                part.running,
                part.succeeded,
                part.failed,
                part.waiting_reason,
            )
            for part in answer.parts
        ]

    def _stub(self, address: str) -> cell_pb2_grpc.SchedulerStub:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = grpc.aio.insecure_channel(address)
        return cell_pb2_grpc.SchedulerStub(channel)


def _unavailable(address: str, exc: grpc.aio.AioRpcError) -> UnavailableError:
    return UnavailableError(f"{address}: {exc.code()}", verdict=Verdict.MAY_HAVE_RUN)
