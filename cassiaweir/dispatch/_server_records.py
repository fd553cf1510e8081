"""The servers on which a leader may have started tasks, as stored for a successor."""

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
    """Adds a row before the first start on a server and removes it with the server."""

    def __init__(self, writer: RowWriter, rows: Iterable[Row]) -> None:
        self._writer = writer
        self._ids = {row.key.removeprefix(RECORDS_PREFIX) for row in rows}

    @property
    def server_ids(self) -> frozenset[str]:
        """The servers that have a row."""
        return frozenset(self._ids)

    def has_row(self, server_id: str) -> bool:
        """Tell whether `server_id` has a row."""
        return server_id in self._ids

    def add(self, entry: ServerEntry) -> int:
        """Queue the row of a server and return the write's place."""
        self._ids.add(entry.server_id)
        value = msgspec.json.encode(_Record(entry.address))
        return self._writer.put(Write(_key(entry.server_id), value))

    def remove(self, server_id: str) -> None:
        """Queue the removal of a server's row."""
        if server_id in self._ids:
            self._ids.discard(server_id)
            self._writer.put(Write(_key(server_id), None))


def _key(server_id: str) -> str:
    return f"{RECORDS_PREFIX}{server_id}"
