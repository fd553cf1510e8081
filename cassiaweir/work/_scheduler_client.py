"""Calls from gateways to the schedulers that own shards."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

import grpc

from cassiaweir.exceptions import UnavailableError
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from cassiaweir.rpc._server import Channels
from cassiaweir.verdict import Verdict


@dataclass(frozen=True, slots=True)
class PartAnswer:
    """The live state of the part of a job in one shard.

    The counts are numbers of tasks; `waiting_reason` says why queued ones wait.
    """

    shard: str
    queued: int
    running: int
    succeeded: int
    failed: int
    waiting_reason: str


class SchedulerClient(Protocol):
    """Calls that a gateway makes to schedulers; both raise `UnavailableError`."""

    async def notify_parts(self, address: str, shard: str, job: str) -> None:
        """Have the owner of `shard` read the row of the part of `job`."""

    async def query_job(self, address: str, job: str) -> list[PartAnswer]:
        """Return the state of the parts of `job` that the process at `address` owns."""


class GrpcSchedulerClient:
    """Implements `SchedulerClient` over gRPC."""

    def __init__(self, channels: Channels, timeout: timedelta) -> None:
        self._channels = channels
        self._timeout = timeout.total_seconds()

    async def notify_parts(self, address: str, shard: str, job: str) -> None:
        """Have the owner of `shard` read the row of the part of `job`."""
        req = cell_pb2.PartsCommitted(shard=shard, job=job)
        try:
            await self._stub(address).NotifyParts(req, timeout=self._timeout)
        except grpc.aio.AioRpcError as exc:
            raise _unavailable(address, exc) from exc

    async def query_job(self, address: str, job: str) -> list[PartAnswer]:
        """Return the state of the parts of `job` that the process at `address` owns."""
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
        return cell_pb2_grpc.SchedulerStub(self._channels.get(address))


def _unavailable(address: str, exc: grpc.aio.AioRpcError) -> UnavailableError:
    return UnavailableError(
        f"scheduler {address}: call failed with {exc.code()}",
        verdict=Verdict.MAY_HAVE_RUN,
    )
