"""The service that every entry VM offers to the others."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

import grpc

from cassiaweir.dispatch import Advisor
from cassiaweir.exceptions import UnavailableError
from cassiaweir.jobs import JobState
from cassiaweir.rpc import node_pb2, node_pb2_grpc
from cassiaweir.types import Row
from cassiaweir.verdict import Verdict

FEWEST_BYTES_COMPRESSED = 8_192
"""Large answers of the store repeat themselves, and links may be slow."""


class JobDirectory(Protocol):
    """What the leader knows of the jobs; a process that does not lead knows none."""

    @property
    def held_epoch(self) -> int:
        """The epoch that this process leads in, also while it still loads the jobs."""

    @property
    def serving_epoch(self) -> int:
        """The epoch in which this process answers for the jobs, 0 where it does not."""

    def apply_rows(self, rows: Sequence[Row]) -> None:
        """Take rows that were just stored, which the feed will bring again."""

    def job_state(self, job_id: str) -> JobState | None:
        """Return the state of a job, None where it is not known."""

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of `queue` have not begun."""


class RelayCalls(Protocol):
    """Calls the store directly, for another process."""

    @property
    def directly_reachable(self) -> bool:
        """Whether the store answered the last call."""

    async def relay(
        self, method: str, path: str, data: bytes | None, wait: timedelta
    ) -> tuple[int, bytes]:
        """Return status and body, or raise `UnavailableError`."""


class NodeServicer(node_pb2_grpc.NodeServicer):
    """Serves `Node`."""

    def __init__(
        self, directory: JobDirectory, advisor: Advisor, relay: RelayCalls
    ) -> None:
        self._directory = directory
        self._advisor = advisor
        self._relay = relay

    def register(self, server: grpc.aio.Server) -> None:
        """Add the service to `server`."""
        node_pb2_grpc.add_NodeServicer_to_server(self, server)

    async def Probe(  # noqa: N802
        self, request: node_pb2.ProbeRequest, context: grpc.aio.ServicerContext
    ) -> node_pb2.ProbeAnswer:
        """Tell whether this process leads."""
        return node_pb2.ProbeAnswer(
            leads_in_epoch=self._directory.held_epoch,
            reaches_store=self._relay.directly_reachable,
        )

    async def Offer(  # noqa: N802
        self, request: node_pb2.OfferRequest, context: grpc.aio.ServicerContext
    ) -> node_pb2.OfferAnswer:
        """Take rows that another process has just stored."""
        rows = [Row(row.key, row.version, row.value) for row in request.rows]
        self._directory.apply_rows(rows)
        return node_pb2.OfferAnswer()

    async def JobState(  # noqa: N802
        self, request: node_pb2.JobStateRequest, context: grpc.aio.ServicerContext
    ) -> node_pb2.JobStateAnswer:
        """Tell the state of a job."""
        state = self._directory.job_state(request.job_id)
        return node_pb2.JobStateAnswer(
            leads=self._directory.serving_epoch > 0,
            state="" if state is None else state.value,
        )

    async def Pending(  # noqa: N802
        self, request: node_pb2.PendingRequest, context: grpc.aio.ServicerContext
    ) -> node_pb2.PendingAnswer:
        """Count the jobs of a queue that have not begun."""
        return node_pb2.PendingAnswer(
            leads=self._directory.serving_epoch > 0,
            count=self._directory.count_pending(request.queue),
        )

    async def Advise(  # noqa: N802
        self, request: node_pb2.AdviseRequest, context: grpc.aio.ServicerContext
    ) -> node_pb2.AdviseAnswer:
        """Ask the advice service from this machine."""
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
        """Call the store for a process that does not reach it."""
        data = request.body if request.has_body else None
        wait = timedelta(milliseconds=request.wait_ms)
        try:
            status, body = await self._relay.relay(
                request.method, request.path, data, wait
            )
        except UnavailableError as exc:
            doubt = exc.verdict is not Verdict.NOT_RUN
            return node_pb2.RelayAnswer(may_have_run=doubt, failure=str(exc))
        if len(body) >= FEWEST_BYTES_COMPRESSED:
            context.set_compression(grpc.Compression.Gzip)
        return node_pb2.RelayAnswer(status=status, body=body)
