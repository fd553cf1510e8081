"""The stored parts of one shard, written under the shard's lease."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from cassiaweir.exceptions import ConflictError, UnavailableError
from cassiaweir.fleet._lease import ShardLease
from cassiaweir.types import Check, Row, Table, Write
from cassiaweir.work import (
    DoneRow,
    EndedAttempt,
    Part,
    TaskPhase,
    decode_part,
    done_key,
    part_key,
    part_prefix,
)


class Committer(Protocol):
    """Commits transactions, and may combine several into one."""

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> dict[str, int]:
        """Commit as `Table.commit` does, with the same errors."""


class PartStore:
    """Reads and writes the parts of a shard; `parts` holds the open ones by job.

    Each write also checks the version of the shard's row.  So a former owner cannot
    write after a takeover, and its successor reads final rows.  `load` and `load_part`
    must not overlap with a flush: a part that was read before the flush deleted it
    would be added again.
    """

    def __init__(
        self, lease: ShardLease, *, table: Table, committer: Committer
    ) -> None:
        self.parts: dict[str, Part] = {}
        self._lease = lease
        self._table = table
        self._committer = committer

    async def load(self, phase: TaskPhase) -> tuple[list[Part], list[Part]]:
        """Read all parts; return the new ones and those that were cancelled meanwhile.

        The tasks of new parts start in `phase`.  Raises `LeaseLostError` if the rows
        may have been read after a takeover.
        """
        rows = await self._table.scan(part_prefix(self._lease.shard))
        await self._lease.read_back()
        return self._apply_rows(rows, phase)

    async def load_part(self, job: str) -> tuple[list[Part], list[Part]]:
        """Read the part of one job; return the same lists as `load`."""
        key = part_key(self._lease.shard, job)
        rows = await self._table.read([key, self._lease.key])
        self._lease.observe(rows.get(self._lease.key))
        found = [rows[key]] if key in rows else []
        return self._apply_rows(found, TaskPhase.WAITING)

    async def reread(self, part: Part) -> None:
        """Read the row of `part` after a write that conflicted or got no answer."""
        key = part_key(self._lease.shard, part.row.job)
        rows = await self._table.read([key, self._lease.key])
        self._lease.observe(rows.get(self._lease.key))
        part.stale = False
        if key in rows:
            self._merge(part, rows[key])
        else:
            part.row_deleted = part.cancelled = True

    async def flush(self, part: Part) -> list[EndedAttempt]:
        """Commit the outcomes in `part`; return the attempts that workers may forget.

        Returns an empty list if the write has to be tried again.  Raises
        `UnavailableError` and `LeaseLostError`.
        """
        if part.stale:
            await self.reread(part)
        reported = list(part.unacknowledged)
        finished = part.finished
        if not part.row_deleted and not await self._write(part, finished):
            return []
        if part.row_deleted:
            part.dirty = False
        del part.unacknowledged[: len(reported)]
        if finished:
            part.row_deleted = True
            del self.parts[part.row.job]
        return reported

    async def _write(self, part: Part, finished: bool) -> bool:
        row = part.merged_row()
        key = part_key(self._lease.shard, row.job)
        checks = [
            Check(key, part.version),
            Check(self._lease.key, self._lease.version),
        ]
        part.dirty = False
        try:
            versions = await self._committer.commit(
                checks, self._writes(key, part, finished)
            )
        except ConflictError:
            part.dirty = part.stale = True
            return False
        except UnavailableError:
            part.dirty = part.stale = True
            raise
        if not finished:
            part.row = row
            part.version = versions[key]
        return True

    def _writes(self, key: str, part: Part, finished: bool) -> list[Write]:
        if not finished:
            return [Write(key, msgspec.json.encode(part.merged_row()))]
        done = DoneRow(
            part.row.job,
            part.row.team,
            len(part.succeeded),
            len(part.failed),
            part.cancelled,
        )
        name = done_key(part.row.job, self._lease.shard)
        return [Write(name, msgspec.json.encode(done)), Write(key, None)]

    def _apply_rows(
        self, rows: Sequence[Row], phase: TaskPhase
    ) -> tuple[list[Part], list[Part]]:
        added, changed = [], []
        for row in rows:
            decoded = decode_part(row)
            part = self.parts.get(decoded.job)
            if part is None:
                part = Part.from_row(decoded, row.version, phase)
                self.parts[decoded.job] = part
                added.append(part)
            elif decoded.cancelled and not part.cancelled:
                part.cancelled = part.stale = True
                changed.append(part)
        return added, changed

    def _merge(self, part: Part, row: Row) -> None:
        part.row = decode_part(row)
        part.version = row.version
        part.cancelled = part.cancelled or part.row.cancelled
