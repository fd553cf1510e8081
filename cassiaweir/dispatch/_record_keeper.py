"""Keeps the stored row of each server in step with what may run there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta

from loguru import logger

from cassiaweir.dispatch._leases import MIN_START_LEASE_S, SUSPECT_LEASE_S
from cassiaweir.dispatch._runs import Run
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_records import ServerRecords
from cassiaweir.exceptions import LeadershipLostError, RowRejectedError
from cassiaweir.leadership import CommitStream
from cassiaweir.observe import Metrics
from cassiaweir.types import Clock

RECORD_TIMEOUT = timedelta(seconds=2)
"""Time for the store to take the rows that a start needs; else the task waits again."""

STORE_CHECK_INTERVAL = timedelta(milliseconds=200)
"""A start that waits for its rows looks this often whether the store is reachable."""


class RecordKeeper:
    """Writes the rows of a term's servers, and sets `Server.recorded` accordingly.

    `wake` is called when a server may get new runs.  `allow_long_leases` tells whether
    any successor would wait for `SUSPECT_LEASE_S`, and `had_leaders` whether calls of
    earlier leaders may still arrive at servers.
    """

    def __init__(
        self,
        records: ServerRecords,
        commits: CommitStream,
        clock: Clock,
        metrics: Metrics,
        wake: Callable[[], None],
        allow_long_leases: Callable[[], bool] = lambda: True,
        *,
        had_leaders: bool = True,
    ) -> None:
        self._had_leaders = had_leaders
        self._allow_long_leases = allow_long_leases
        self._clock = clock
        self._metrics = metrics
        self._began_at = clock.monotonic()
        self._records = records
        self._commits = commits
        self._wake = wake

    def add(self, server: Server) -> None:
        """Set whether the row that a former leader stored serves a new server."""
        is_open = self._records.is_open(server.server_id)
        server.recorded = not server.restricted and is_open
        server.leases.allow_long = self._records.allows_long_leases(server.server_id)
        if self._had_leaders:
            server.leases.expect_inherited()
            # The former leader may have acknowledged ends just before this term began.
            server.fence.note_acknowledgement_in_doubt(self._began_at)

    def check_lifetime(self, server: Server) -> None:
        """Note what the row says of the lifetime that has reported for the first time.

        If the row is for another one, a new one is needed, and this lifetime may have
        got the acknowledgements that the former leader sent to that one.
        """
        is_other = self._records.born_of(server.server_id) != server.born
        if is_other:
            server.recorded = False
        has_row = self._records.has_row(server.server_id)
        forgets = is_other or self._records.forgets_ends(server.server_id)
        server.forgets_ends |= self._had_leaders and has_row and forgets

    def remove(self, server_id: str) -> None:
        """Remove the row of a server on which nothing can run any more."""
        self._records.remove(server_id)

    def shorten_leases(self, server: Server, now: float) -> None:
        """Let the row of a server no longer allow long leases, if none is in force."""
        server.leases.long_suspended = not self._allow_long_leases()
        if server.may_shorten_leases(now):
            server.leases.allow_long = False
            self._records.shorten_leases(server.entry, server.task_names())

    def remove_others(self, servers: set[str]) -> None:
        """Remove the rows of all servers that are not in `servers`."""
        for server_id in self._records.server_ids - servers:
            self._records.remove(server_id)

    def forget_stored_ends(self, server: Server) -> None:
        """Let the server's row no longer name tasks whose ends are stored by now."""
        server.forget_stored_ends(self._commits.is_stored)

    async def store(self, server: Server) -> None:
        """Store the row that new runs on a server need; none is started before.

        A successor has to wait for the leases that the server may have inherited.
        """
        server.recording = True
        born = server.born
        self._records.set_lifetime(
            server.server_id, born, forgets_ends=server.forgets_ends
        )
        prolonged = server.leases.may_be_inherited(self._clock.monotonic())
        position = self._queue_lifetime_row(server, prolonged=prolonged)
        try:
            rejected = await self._commits.wait_until_rows_stored({position})
        except LeadershipLostError:
            return
        finally:
            server.recording = False
        if rejected or server.born != born:
            return
        server.leases.allow_long |= prolonged and self._allow_long_leases()
        # The row may have been narrowed or removed meanwhile.
        has_row = self._records.has_row(server.server_id)
        is_open = self._records.is_open(server.server_id)
        server.recorded = has_row if server.restricted else is_open
        self._wake()

    def narrow(self, server: Server, now: float) -> None:
        """Let the row of an unreachable server name its tasks, or remove it if none."""
        names = server.task_names()
        is_open = self._records.is_open(server.server_id)
        if names and is_open and self._records.can_name(server.entry, names):
            server.recorded = False
            self._records.restrict(server.entry, names)
        elif not names and server.leases_expired(now):
            server.recorded = False
            server.leases.allow_long = False
            self._records.remove(server.server_id)

    async def store_starts(
        self, server: Server, runs: Sequence[Run], positions: Collection[int]
    ) -> bool:
        """Wait for what a successor has to know before `runs` start on `server`.

        These are the writes at `positions`, and the row of a restricted server, which
        names the runs.  Return whether the store took all in time, False as soon as it
        is known to be out of reach.  Raises `LeadershipLostError`, and
        `RowRejectedError` if the store refuses what the starts rest on for good.
        """
        needed = set(positions)
        rests_on = needed
        prolonged = not server.leases.allow_long and self._must_observe(runs)
        row = self._queue_row(server, prolonged=prolonged)
        if row is not None:
            # It names the runs, so that none is started twice.
            rests_on = {row}
            needed = needed | rests_on
        began = self._clock.monotonic()
        deadline = began + RECORD_TIMEOUT.total_seconds()
        rejected = await self._wait_stored(needed, deadline)
        if rejected is not None and rejected & rests_on:
            raise RowRejectedError("the store refuses a row that starts rest on")
        stored = rejected is not None
        server.leases.allow_long |= stored and prolonged
        waited_s = self._clock.monotonic() - began
        self._metrics.observe("start_record", waited_s)
        if not stored:
            logger.info(
                "runs_not_recorded",
                runs=len(runs),
                first=runs[0].task.name,
                server=server.server_id,
                waited_ms=round(waited_s * 1_000),
                missing=self._commits.missing_writes(max(needed)),
            )
        return stored

    def start_lease_s(self, run: Run) -> float:
        """Return how long the lease of a start lasts at least, in seconds."""
        observed = run.server.is_observed or self._must_observe([run])
        lease_s = SUSPECT_LEASE_S if observed else MIN_START_LEASE_S
        return min(lease_s, run.server.leases.longest_s)

    def _must_observe(self, runs: Sequence[Run]) -> bool:
        """Return whether the server of `runs` needs long leases for one of them."""
        return any(run.isolation for run in runs) and self._allow_long_leases()

    def _queue_lifetime_row(self, server: Server, *, prolonged: bool) -> int:
        """Queue the row of a server's lifetime; return the position of the write."""
        names = server.task_names() if server.restricted else None
        if prolonged:
            return self._records.set_long_leases(
                server.entry, names, server.leases.longest_s
            )
        if names is None:
            return self._records.open(server.entry)
        return self._records.restrict(server.entry, names)

    def _queue_row(self, server: Server, *, prolonged: bool) -> int | None:
        """Queue the row that starts on a server need; return its position, if any."""
        names = server.task_names() if server.restricted else None
        if prolonged:
            return self._records.set_long_leases(server.entry, names)
        return None if names is None else self._records.restrict(server.entry, names)

    async def _wait_stored(
        self, positions: Collection[int], deadline: float
    ) -> set[int] | None:
        """Wait for writes until `deadline`, as long as the store is within reach.

        Return those that the store refuses, or None if some are not stored yet.
        """
        while self._clock.monotonic() < deadline:
            try:
                async with asyncio.timeout(STORE_CHECK_INTERVAL.total_seconds()):
                    return await self._commits.wait_until_rows_stored(positions)
            except TimeoutError:
                if not self._commits.store_reachable:
                    return None
        return None
