"""Stored rows that name the servers on which a leader may have started tasks.

A successor reads them to know which servers to settle before it starts held tasks.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from cassiaweir.dispatch._job_registry import RowWriter
from cassiaweir.dispatch._server_entry import ServerEntry
from cassiaweir.types import Row, Write

RECORDS_PREFIX = "known/main/"


class _Record(msgspec.Struct):
    address: str


class ServerRecords:
    """Writes the row of each server on which tasks may be started.

    The row is stored before the first start on a server and removed with the server.
    """

    def __init__(self, writer: RowWriter, rows: Iterable[Row]) -> None:
        self._writer = writer
        self._ids = {row.key.removeprefix(RECORDS_PREFIX) for row in rows}

    @property
    def server_ids(self) -> frozenset[str]:
        """The ids of the servers that have a row, stored or queued."""
        return frozenset(self._ids)

    def has_row(self, server_id: str) -> bool:
        """Return whether `server_id` has a row, stored or queued."""
        return server_id in self._ids

    def add(self, entry: ServerEntry) -> int:
        """Queue the row of a server and return the position of the write."""
        self._ids.add(entry.server_id)
        value = msgspec.json.encode(_Record(entry.address))
        return self._writer.put(Write(_key(entry.server_id), value))

    def remove(self, server_id: str) -> None:
        """Queue the removal of a server's row, if it has one."""
        if server_id in self._ids:
            self._ids.discard(server_id)
            self._writer.put(Write(_key(server_id), None))


def _key(server_id: str) -> str:
    return f"{RECORDS_PREFIX}{server_id}"
