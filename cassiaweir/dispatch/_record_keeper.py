"""Keeps the stored row of each server in step with what may run there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta

from loguru import logger

from cassiaweir.dispatch._runs import Run
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_records import ServerRecords
from cassiaweir.exceptions import LeadershipLostError, RowRejectedError
from cassiaweir.leadership import CommitStream

RECORD_TIMEOUT = timedelta(milliseconds=400)
"""Time for the store to take the row that a start needs; else the task waits again."""

WATCH_TIMEOUT = timedelta(seconds=2)
"""The same for a start that only the row of its job has to name."""


class RecordKeeper:
    """Writes the rows of a term's servers, and sets `Server.recorded` accordingly.

    `wake` is called when a server may get new runs.
    """

    def __init__(
        self, records: ServerRecords, commits: CommitStream, wake: Callable[[], None]
    ) -> None:
        self._records = records
        self._commits = commits
        self._wake = wake

    def add(self, server: Server) -> None:
        """Set whether the row that a former leader stored serves a new server."""
        is_open = self._records.is_open(server.server_id)
        server.recorded = not server.restricted and is_open

    def remove(self, server_id: str) -> None:
        """Remove the row of a server on which nothing can run any more."""
        self._records.remove(server_id)

    def remove_others(self, servers: set[str]) -> None:
        """Remove the rows of all servers that are not in `servers`."""
        for server_id in self._records.server_ids - servers:
            self._records.remove(server_id)

    def forget_stored_ends(self, server: Server) -> None:
        """Let the server's row no longer name tasks whose ends are stored by now."""
        server.forget_stored_ends(self._commits.is_stored)

    async def store(self, server: Server) -> None:
        """Store the row that new runs on a server need; none is started before."""
        server.recording = True
        if server.restricted:
            position = self._records.restrict(server.entry, server.task_names())
        else:
            position = self._records.open(server.entry)
        try:
            await self._commits.wait_until_stored(position)
        except (LeadershipLostError, RowRejectedError):
            return
        finally:
            server.recording = False
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
            self._records.remove(server.server_id)

    async def store_starts(self, runs: Sequence[Run], position: int) -> bool:
        """Let the rows of restricted servers name `runs` before these are started.

        The writes up to `position` have to be stored as well.  Return whether the store
        took all in time.  Raises `LeadershipLostError`, and `RowRejectedError` if the
        store refuses one of them for good.
        """
        servers = {
            run.server.server_id: run.server for run in runs if run.server.restricted
        }
        for server in servers.values():
            row = self._records.restrict(server.entry, server.task_names())
            position = max(position, row)
        timeout = RECORD_TIMEOUT if servers else WATCH_TIMEOUT
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._commits.wait_until_stored(position)
        except TimeoutError:
            logger.info(
                "runs_not_recorded",
                runs=len(runs),
                first=runs[0].task.name,
                servers=len(servers),
                waited_ms=round(timeout.total_seconds() * 1_000),
                missing=self._commits.missing_writes(position),
            )
            return False
        return True
