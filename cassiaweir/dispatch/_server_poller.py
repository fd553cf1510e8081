"""Keeps the lease of one server alive and brings its reports."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from loguru import logger

from cassiaweir.dispatch._orders import ServerClient
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_entry import ServerReport
from cassiaweir.exceptions import FencedError, UnavailableError
from cassiaweir.leadership import Leadership
from cassiaweir.types import Clock

REPORT_WAIT = timedelta(milliseconds=700)
REPORT_TIMEOUT = timedelta(milliseconds=350)
SILENT_DELAY = timedelta(milliseconds=150)
UNSTORED_DELAY = timedelta(milliseconds=250)
STORE_PATIENCE = timedelta(milliseconds=300)


class ReportHandler(Protocol):
    """Acts on what servers report."""

    def handle_report(
        self, server: Server, report: ServerReport, asked_at: float
    ) -> int:
        """Apply a report that was asked for at `asked_at`.

        Returns the place of the last write that it led to; its ends may be forgotten
        once that is stored.
        """

    def handle_unreachable(self, server: Server) -> None:
        """Take note of a server that does not answer."""

    def handle_superseded(self) -> None:
        """Take note of a server that follows a higher epoch."""


class Stored(Protocol):
    """Tells what is stored."""

    def is_stored(self, place: int) -> bool:
        """Tell whether everything up to `place` is stored."""

    async def wait_until_stored(self, place: int) -> None:
        """Wait until everything up to `place` is stored."""


@dataclass(frozen=True, slots=True)
class _UnsettledEnds:
    """The newest end of a report from the lifetime `born` of the server.

    It may be acknowledged once everything up to `place` is stored.
    """

    born: int
    number: int
    place: int


class ServerPoller:
    """Asks one server for reports, one after the other, until it is cancelled.

    A server that does not answer is asked without extending its lease, so that what
    runs there lapses in bounded time.
    """

    def __init__(
        self,
        server: Server,
        calls: ServerClient,
        clock: Clock,
        lead: Leadership,
        taker: ReportHandler,
        stored: Stored,
    ) -> None:
        self._server = server
        self._calls = calls
        self._clock = clock
        self._lead = lead
        self._taker = taker
        self._stored = stored
        self._unsettled: _UnsettledEnds | None = None

    async def run(self) -> None:
        """Hold the server's lease whenever this process may act as the leader."""
        while not self._lead.lost:
            if not self._lead.may_act(self._clock.monotonic()):
                await self._clock.sleep(SILENT_DELAY)
                continue
            try:
                await self._exchange()
            except FencedError as exc:
                logger.warning(
                    "server_fenced", server=self._server.server_id, cause=str(exc)
                )
                self._taker.handle_superseded()
                return
            except UnavailableError as exc:
                self._mark_unreachable(exc)
                await self._clock.sleep(SILENT_DELAY)

    async def _exchange(self) -> None:
        settled = await self._await_stored()
        server = self._server
        asked_at = self._clock.monotonic()
        report = await self._calls.renew_lease(
            server.entry,
            epoch=self._lead.epoch,
            until_ms=server.next_lease_end_ms(asked_at) if server.reachable else None,
            acknowledged=server.acknowledged,
            wait=REPORT_WAIT if settled and server.fenced else timedelta(0),
            timeout=REPORT_TIMEOUT,
        )
        place = self._taker.handle_report(server, report, asked_at)
        if report.ended:
            last = max(end.number for end in report.ended)
            if last > server.acknowledged:
                self._unsettled = _UnsettledEnds(server.born, last, place)

    async def _await_stored(self) -> bool:
        """Wait a little for the ends of the last report to be stored.

        Tells whether they may be forgotten; else the server is asked again soon, as
        its lease must not wait for the store.
        """
        ends = self._unsettled
        if ends is None:
            return True
        if not self._stored.is_stored(ends.place):
            try:
                async with asyncio.timeout(STORE_PATIENCE.total_seconds()):
                    await self._stored.wait_until_stored(ends.place)
            except TimeoutError:
                await self._clock.sleep(UNSTORED_DELAY)
                return False
        if ends.born == self._server.born:
            self._server.acknowledged = max(self._server.acknowledged, ends.number)
        self._unsettled = None
        return True

    def _mark_unreachable(self, exc: UnavailableError) -> None:
        if self._server.reachable:
            logger.warning(
                "server_silent", server=self._server.server_id, cause=str(exc)
            )
        self._server.reachable = False
        self._taker.handle_unreachable(self._server)
