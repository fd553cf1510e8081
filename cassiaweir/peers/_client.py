"""RPC client for the other entry VMs."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

import grpc
from loguru import logger

from cassiaweir.clock import SystemClock
from cassiaweir.dispatch import Advice
from cassiaweir.exceptions import UnavailableError
from cassiaweir.jobs import JobState
from cassiaweir.leadership import ProbeResult
from cassiaweir.peers._load import decode_load
from cassiaweir.rpc import node_pb2, node_pb2_grpc
from cassiaweir.rpc._server import Channels
from cassiaweir.scheduling import LoadSnapshot
from cassiaweir.types import Clock, Row
from cassiaweir.verdict import Verdict

PROBE_TIMEOUT_S = 0.25
OFFER_TIMEOUT_S = 1.0
QUERY_TIMEOUT_S = 0.4
ADVICE_MARGIN_S = 0.2
"""Added to the timeout of the advice service for the call to the peer."""


class PeerClient:
    """Calls peers by address.

    Except for the probes, failed calls raise `UnavailableError`, whose verdict says
    whether the call may have run.
    """

    def __init__(self, channels: Channels, clock: Clock | None = None) -> None:
        self._channels = channels
        self._clock = clock or SystemClock()

    async def probe(self, address: str) -> ProbeResult:
        """Return whether the process at `address` leads, or how the call failed."""
        try:
            answer = await self._probe(address)
        except grpc.aio.AioRpcError as exc:
            refused = exc.code() is grpc.StatusCode.UNAVAILABLE
            return ProbeResult.REFUSED if refused else ProbeResult.SILENT
        return ProbeResult.LEADING if answer.leads_in_epoch else ProbeResult.NOT_LEADING

    async def could_lead(self, address: str) -> bool:
        """Return whether the process at `address` answers and reaches the store."""
        try:
            answer = await self._probe(address)
        except grpc.aio.AioRpcError as exc:
            logger.info(
                "peer_probe_failed", peer=address, cause=exc.code().name.lower()
            )
            return False
        return bool(answer.reaches_store)

    async def offer(self, address: str, rows: Sequence[Row]) -> LoadSnapshot | None:
        """Send rows that were just stored to the leader at `address`.

        Return the load that the leader tells in its answer, None if it tells none.
        """
        sent_at = self._clock.monotonic()
        request = node_pb2.OfferRequest(
            rows=[
                node_pb2.OfferedRow(key=row.key, version=row.version, value=row.value)
                for row in rows
            ]
        )
        try:
            answer = await self._stub(address).Offer(request, timeout=OFFER_TIMEOUT_S)
        except grpc.aio.AioRpcError as exc:
            raise _to_unavailable_error(address, exc) from exc
        return decode_load(answer, sent_at)

    async def job_state(self, address: str, job_id: str) -> JobState | None:
        """Return the state of a job, or None if the leader does not know the job."""
        request = node_pb2.JobStateRequest(job_id=job_id)
        try:
            answer = await self._stub(address).JobState(
                request, timeout=QUERY_TIMEOUT_S
            )
        except grpc.aio.AioRpcError as exc:
            raise _to_unavailable_error(address, exc) from exc
        if not answer.leads:
            raise UnavailableError(f"{address} does not lead", verdict=Verdict.NOT_RUN)
        return JobState(answer.state) if answer.state else None

    async def pending(self, address: str, queue: str) -> int:
        """Return the leader's count of jobs of `queue` that have not started."""
        request = node_pb2.PendingRequest(queue=queue)
        try:
            answer = await self._stub(address).Pending(request, timeout=QUERY_TIMEOUT_S)
        except grpc.aio.AioRpcError as exc:
            raise _to_unavailable_error(address, exc) from exc
        if not answer.leads:
            raise UnavailableError(f"{address} does not lead", verdict=Verdict.NOT_RUN)
        return answer.count

    async def advise(
        self, address: str, step: str, server_ids: Sequence[str], timeout_s: float
    ) -> Advice:
        """Query the advice service through the entry VM at `address`."""
        request = node_pb2.AdviseRequest(
            step=step, server_ids=server_ids, timeout_ms=round(timeout_s * 1_000)
        )
        try:
            answer = await self._stub(address).Advise(
                request, timeout=timeout_s + ADVICE_MARGIN_S
            )
        except grpc.aio.AioRpcError as exc:
            raise _to_unavailable_error(address, exc) from exc
        if answer.failure:
            raise UnavailableError(answer.failure, verdict=Verdict.NOT_RUN)
        return Advice(dict(answer.tickets), answer.valid_ms / 1_000)

    async def relay(
        self,
        address: str,
        method: str,
        path: str,
        data: bytes | None,
        wait: timedelta,
        timeout: timedelta,
    ) -> tuple[int, bytes]:
        """Call the store through the entry VM at `address`; return status and body."""
        request = node_pb2.RelayRequest(
            method=method,
            path=path,
            body=data or b"",
            has_body=data is not None,
            wait_ms=round(wait.total_seconds() * 1_000),
        )
        seconds = timeout.total_seconds()
        try:
            answer = await self._stub(address).Relay(request, timeout=seconds)
        except grpc.aio.AioRpcError as exc:
            raise _to_unavailable_error(address, exc) from exc
        if not answer.status:
            outcome = Verdict.MAY_HAVE_RUN if answer.may_have_run else Verdict.NOT_RUN
            raise UnavailableError(answer.failure, verdict=outcome)
        return answer.status, answer.body

    async def _probe(self, address: str) -> node_pb2.ProbeAnswer:
        request = node_pb2.ProbeRequest()
        return await self._stub(address).Probe(request, timeout=PROBE_TIMEOUT_S)

    def _stub(self, address: str) -> node_pb2_grpc.NodeStub:
        return node_pb2_grpc.NodeStub(self._channels.get(address))


def _to_unavailable_error(address: str, exc: grpc.aio.AioRpcError) -> UnavailableError:
    message = f"call to {address} failed: {exc.code().name.lower()} {exc.details()}"
    return UnavailableError(message, verdict=Verdict.MAY_HAVE_RUN)
