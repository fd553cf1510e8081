"""The gRPC service that every entry VM offers to the others."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

import grpc

from cassiaweir.clock import SystemClock
from cassiaweir.dispatch import Advisor
from cassiaweir.exceptions import UnavailableError
from cassiaweir.jobs import JobState
from cassiaweir.peers._load import encode_load
from cassiaweir.rpc import node_pb2, node_pb2_grpc
from cassiaweir.scheduling import LoadSnapshot
from cassiaweir.types import Clock, Row
from cassiaweir.verdict import Verdict

MIN_COMPRESSED_BYTES = 8_192
"""Relayed answers from this size on are compressed.

Large answers of the store contain much repetition, and links may be slow.
"""


class LeaderJobs(Protocol):
    """The jobs as the leader knows them; a process that does not lead has none."""

    @property
    def held_epoch(self) -> int:
        """The epoch this process leads, even while it loads the jobs, else 0."""

    @property
    def serving_epoch(self) -> int:
        """The epoch this process leads, once it has loaded the jobs, else 0."""

    def apply_rows(self, rows: Sequence[Row]) -> None:
        """Apply rows that were just stored; the feed will deliver them again."""

    def job_state(self, job_id: str) -> JobState | None:
        """Return the state of a job, or None if it is unknown."""

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of `queue` have not started."""

    def load(self) -> LoadSnapshot | None:
        """Return the load that this process measured as the leader, if any."""


class RelayCalls(Protocol):
    """Calls the store directly on behalf of other entry VMs."""

    @property
    def directly_reachable(self) -> bool:
        """Whether the store is reachable from this VM, as of the last direct call."""

    async def relay(
        self, method: str, path: str, data: bytes | None, wait: timedelta
    ) -> tuple[int, bytes]:
        """Return status and body, or raise `UnavailableError`."""


class NodeServicer(node_pb2_grpc.NodeServicer):
    """Implements the gRPC service `Node`."""

    def __init__(
        self,
        jobs: LeaderJobs,
        advisor: Advisor,
        relay: RelayCalls,
        clock: Clock | None = None,
    ) -> None:
        self._clock = clock or SystemClock()
        self._jobs = jobs
        self._advisor = advisor
        self._store = relay

    def register(self, server: grpc.aio.Server) -> None:
        """Add the service to `server`."""
        node_pb2_grpc.add_NodeServicer_to_server(self, server)

    async def Probe(  # noqa: N802
        self, request: node_pb2.ProbeRequest, context: grpc.aio.ServicerContext
    ) -> node_pb2.ProbeAnswer:
        """Return whether this process leads and reaches the store."""
        return node_pb2.ProbeAnswer(
            leads_in_epoch=self._jobs.held_epoch,
            reaches_store=self._store.directly_reachable,
        )

    async def Offer(  # noqa: N802
        self, request: node_pb2.OfferRequest, context: grpc.aio.ServicerContext
    ) -> node_pb2.OfferAnswer:
        """Apply rows that another process has just stored; tell the load."""
        rows = [Row(row.key, row.version, row.value) for row in request.rows]
        self._jobs.apply_rows(rows)
        return encode_load(self._jobs.load(), self._clock.monotonic())

    async def JobState(  # noqa: N802
        self, request: node_pb2.JobStateRequest, context: grpc.aio.ServicerContext
    ) -> node_pb2.JobStateAnswer:
        """Return the state of a job, and whether this process answers as the leader."""
        state = self._jobs.job_state(request.job_id)
        return node_pb2.JobStateAnswer(
            leads=self._jobs.serving_epoch > 0,
            state="" if state is None else state.value,
        )

    async def Pending(  # noqa: N802
        self, request: node_pb2.PendingRequest, context: grpc.aio.ServicerContext
    ) -> node_pb2.PendingAnswer:
        """Return how many jobs of a queue have not started."""
        return node_pb2.PendingAnswer(
            leads=self._jobs.serving_epoch > 0,
            count=self._jobs.count_pending(request.queue),
        )

    async def Advise(  # noqa: N802
        self, request: node_pb2.AdviseRequest, context: grpc.aio.ServicerContext
    ) -> node_pb2.AdviseAnswer:
        """Query the advice service from this VM."""
        try:
            advice = await self._advisor.advise(
                request.step, list(request.server_ids), request.timeout_ms / 1_000
            )
        except UnavailableError as exc:
            return node_pb2.AdviseAnswer(failure=str(exc))
        return node_pb2.AdviseAnswer(
            tickets=advice.tickets, valid_ms=round(advice.valid_s * 1_000)
        )

    async def Relay(  # noqa: N802
        self, request: node_pb2.RelayRequest, context: grpc.aio.ServicerContext
    ) -> node_pb2.RelayAnswer:
        """Call the store for a peer that cannot reach it directly."""
        data = request.body if request.has_body else None
        wait = timedelta(milliseconds=request.wait_ms)
        try:
            status, body = await self._store.relay(
                request.method, request.path, data, wait
            )
        except UnavailableError as exc:
            possibly_run = exc.verdict is not Verdict.NOT_RUN
            return node_pb2.RelayAnswer(may_have_run=possibly_run, failure=str(exc))
        if len(body) >= MIN_COMPRESSED_BYTES:
            context.set_compression(grpc.Compression.Gzip)
        return node_pb2.RelayAnswer(status=status, body=body)
