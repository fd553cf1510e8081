"""Polls one server for reports, which also renews the lease of its runs."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from loguru import logger

from cassiaweir.dispatch._call_queue import CallKind, CallQueues
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_client import ServerClient
from cassiaweir.dispatch._server_entry import EndPosition, ServerReport
from cassiaweir.exceptions import (
    FencedError,
    LeadershipLostError,
    LifetimeEndedError,
    RowRejectedError,
    UnavailableError,
)
from cassiaweir.leadership import Leadership
from cassiaweir.types import Clock
from cassiaweir.verdict import Verdict

REPORT_WAIT = timedelta(milliseconds=700)
"""Time for which a server may hold a request back until a run has ended."""

OBSERVED_REPORT_WAIT = timedelta(milliseconds=500)
"""The same for a server with suspected tasks, whose crash has to be noticed soon."""

REPORT_TIMEOUT = timedelta(milliseconds=350)
"""Time for which an answer may be late, in addition to the wait that was asked for."""

RETRY_DELAY = timedelta(milliseconds=150)
UNSTORED_DELAY = timedelta(milliseconds=250)
"""Delay before the next request while the ends of the last report are not stored."""

CHECK_DELAY = timedelta(milliseconds=30)
"""Delay before the next request while runs are to lapse to check numbers of ends.

Their starts need the server's clock to some milliseconds.
"""
MAX_REPORT_AGE_AT_ACKNOWLEDGEMENT_S = 0.1
"""Ends are acknowledged only to a server that has reported within this time."""

STORE_TIMEOUT = timedelta(milliseconds=300)
"""Time to wait for the ends of a report to be stored before the lease is renewed."""


class ReportHandler(Protocol):
    """Acts on the reports of servers."""

    def handle_report(
        self, server: Server, report: ServerReport, asked_at: float, fence: int
    ) -> Sequence[EndPosition]:
        """Apply a report that was requested at `asked_at` with `fence`.

        Return what the ends in the report rest on, by number.  The server may forget an
        end once the writes of all ends up to it are stored.
        """

    def handle_unreachable(self, server: Server) -> None:
        """Act on a server that does not answer."""

    def handle_lifetime_ended(self, server: Server) -> None:
        """Act on a server at whose address another lifetime answers."""

    def handle_superseded(self) -> None:
        """Act on a server that follows a higher epoch."""


class WriteTracker(Protocol):
    """Knows which of the queued writes are stored."""

    def is_stored(self, position: int) -> bool:
        """Return whether the write at `position` and those before it are stored."""

    async def wait_until_stored(self, position: int) -> None:
        """Wait for that.

        Raises `RowRejectedError` if the store refuses the write at `position`.
        """


@dataclass(frozen=True, slots=True)
class _UnstoredEnds:
    """The ends in a report that are not acknowledged yet.

    `born` is the lifetime of the server in which the report was made.
    """

    born: int
    ends: Sequence[EndPosition]


class ServerPoller:
    """Requests reports from one server, one at a time, until it is cancelled.

    Each request renews the server's lease, except while the server does not answer: its
    runs then end within a bounded time, when the lease expires.
    """

    def __init__(
        self,
        server: Server,
        client: ServerClient,
        clock: Clock,
        leadership: Leadership,
        handler: ReportHandler,
        writes: WriteTracker,
        queues: CallQueues,
    ) -> None:
        self._server = server
        self._client = client
        self._clock = clock
        self._leadership = leadership
        self._handler = handler
        self._writes = writes
        self._queues = queues
        self._unstored: _UnstoredEnds | None = None
        self._first_listed_end = 0
        self._logged_unreachable = False

    async def run(self) -> None:
        """Poll the server whenever this process may act as the leader.

        Return when the leadership is lost or the server follows a higher epoch.
        """
        while not self._leadership.lost:
            if not self._leadership.may_act(self._clock.monotonic()):
                await self._clock.sleep(RETRY_DELAY)
                continue
            try:
                await self._poll()
            except FencedError as exc:
                logger.warning(
                    "server_fenced", server=self._server.server_id, cause=str(exc)
                )
                self._handler.handle_superseded()
                return
            except LifetimeEndedError as exc:
                self._mark_unreachable(exc)
                self._handler.handle_lifetime_ended(self._server)
                await self._clock.sleep(RETRY_DELAY)
            except UnavailableError as exc:
                self._mark_unreachable(exc)
                await self._clock.sleep(RETRY_DELAY)
            except LeadershipLostError:
                return
            except Exception as exc:
                # One server's report must not end the polls that renew its lease.
                logger.opt(exception=exc).error(
                    "server_poll_failed", server=self._server.server_id
                )
                await self._clock.sleep(RETRY_DELAY)

    async def _poll(self) -> None:
        """Request one report and apply it.

        The server may delay its answer only if it refuses all earlier calls and the
        ends of the last report are stored.  Ends are acknowledged in calls without
        delay: the next lifetime of a server that goes down meanwhile might carry out
        the call, and forget its own ends unread.  For the same reason, the server is
        asked first which lifetime it is in if the last report is not new.
        """
        acknowledgeable = await self._wait_stored()
        if self._has_ends_to_acknowledge and not self._reported_just_now():
            await self._read_report(0, timedelta(0))
        if self._has_ends_to_acknowledge:
            await self._read_report(self._server.acknowledged, timedelta(0))
            if self._unstored is not None:
                return
        if self._server.checks_numbers_now(self._clock.monotonic()):
            await self._clock.sleep(CHECK_DELAY)
            await self._read_report(0, timedelta(0))
            return
        may_wait = acknowledgeable and self._server.fenced
        wait = OBSERVED_REPORT_WAIT if self._server.is_observed else REPORT_WAIT
        await self._read_report(0, wait if may_wait else timedelta(0))

    async def _read_report(self, acknowledged: int, wait: timedelta) -> None:
        """Request a report and apply it; renew the lease of a reachable server."""
        server = self._server
        async with self._queues.at(server.entry.address).turn(CallKind.REPORT):
            asked_at = self._clock.monotonic()
            renewed = server.reachable and self._leadership.may_act(asked_at)
            renewed = renewed and not server.avoids_leases
            until_ms = server.next_lease_end_ms(asked_at) if renewed else None
            born = server.born
            fence = server.fence.value
            try:
                report = await self._client.renew_lease(
                    server.entry,
                    epoch=fence,
                    until_ms=until_ms,
                    acknowledged=acknowledged,
                    wait=wait,
                    timeout=REPORT_TIMEOUT,
                )
            except UnavailableError as exc:
                if exc.verdict is not Verdict.NOT_RUN:
                    self._note_in_doubt(fence, until_ms, acknowledged, asked_at)
                raise
            except FencedError as exc:
                if not server.fence.supersedes(fence):
                    raise
                raise UnavailableError(str(exc), verdict=Verdict.NOT_RUN) from exc
        if self._logged_unreachable:
            self._logged_unreachable = False
            logger.info("server_reachable", server=server.server_id)
        if acknowledged and report.born != born:
            server.fence.note_acknowledgement_in_doubt(asked_at)
        ends = self._handler.handle_report(server, report, asked_at, fence)
        if until_ms is not None and server.born == born:
            server.leases.note_granted(until_ms)
        numbers = [end.number for end in report.ended]
        self._first_listed_end = min(numbers, default=0)
        if ends:
            self._unstored = _UnstoredEnds(server.born, ends)

    def _note_in_doubt(
        self, fence: int, until_ms: int | None, acknowledged: int, asked_at: float
    ) -> None:
        """Note that a request without an answer may be carried out later."""
        if until_ms is not None or acknowledged:
            self._server.fence.note_unanswered(fence)
        if acknowledged:
            self._server.fence.note_acknowledgement_in_doubt(asked_at)

    @property
    def _has_ends_to_acknowledge(self) -> bool:
        """Whether the last report lists ends that are stored."""
        return 0 < self._first_listed_end <= self._server.acknowledged

    def _reported_just_now(self) -> bool:
        age_s = self._clock.monotonic() - self._server.reported_at
        recent = age_s <= MAX_REPORT_AGE_AT_ACKNOWLEDGEMENT_S
        return self._server.reachable and recent

    async def _wait_stored(self) -> bool:
        """Wait up to `STORE_TIMEOUT` for the ends of the last report to be stored.

        Return whether all are stored, so that the server may forget them.  If not, the
        server is polled again soon, as its lease must not wait for the store.
        """
        unstored = self._unstored
        if unstored is None:
            return True
        try:
            async with asyncio.timeout(STORE_TIMEOUT.total_seconds()):
                await self._writes.wait_until_stored(
                    max(end.position for end in unstored.ends)
                )
        except (TimeoutError, RowRejectedError):
            pass
        self._acknowledge_stored(unstored)
        if not all(self._writes.is_stored(end.position) for end in unstored.ends):
            await self._clock.sleep(UNSTORED_DELAY)
            return False
        self._unstored = None
        return True

    def _acknowledge_stored(self, unstored: _UnstoredEnds) -> None:
        """Let the server forget the ends before the first one that is not stored."""
        if unstored.born != self._server.born:
            return
        for end in unstored.ends:
            if not self._writes.is_stored(end.position):
                return
            self._server.acknowledged = max(self._server.acknowledged, end.number)

    def _mark_unreachable(self, exc: UnavailableError) -> None:
        if self._server.reachable:
            self._logged_unreachable = True
            logger.warning(
                "server_unreachable", server=self._server.server_id, cause=str(exc)
            )
        self._server.reachable = False
        self._handler.handle_unreachable(self._server)
