"""Stored rows that name the servers, and tasks, that a leader may have started.

The row of a server is stored before the first start there, and a successor reads it.
An open row says that any task may run on the server, a restricted one names all that
may.  A successor holds back nothing but those tasks while it cannot reach the server.

Rows of servers in the leader's own failure domain are restricted, and rewritten
before each start: a domain that is cut off takes its leader along, and nobody else can
then ask these servers what they run.  So are the rows of servers out of reach.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from loguru import logger

from cassiaweir.dispatch._job_registry import RowWriter
from cassiaweir.dispatch._server_entry import ServerEntry
from cassiaweir.leadership import Owner
from cassiaweir.types import Resources, Row, Write

RECORDS_PREFIX = "known/main/"


class _Record(msgspec.Struct, omit_defaults=True):
    """A stored row; `tasks` is None while any task may run on the server.

    `epoch` is that of the leader that wrote it, 0 in rows of builds without `tasks`.
    `capacity` is that of the server by then, None in rows of builds without it.
    """

    address: str
    tasks: list[str] | None = None
    epoch: int = 0
    capacity: Resources | None = None


@dataclass(frozen=True, slots=True)
class FormerTasks:
    """The tasks that former leaders may have started on one server.

    `names` is None if it may be any task.  `address` is the server's, empty if its row
    is unreadable.  `capacity` is what the server had when the row was written, None if
    that is unknown.
    """

    names: frozenset[str] | None
    address: str = ""
    capacity: Resources | None = None


def decode_former_tasks(
    rows: Iterable[Row], former: Owner | None
) -> dict[str, FormerTasks]:
    """Return by server id what the rows say; an unreadable one restricts nothing.

    A restricted row counts only if every leader since it was written keeps such rows,
    which the owner row of the `former` leader tells.
    """
    since = former.task_records_since if former is not None else 0
    found = {}
    for row in rows:
        server_id = row.key.removeprefix(RECORDS_PREFIX)
        found[server_id] = _decode(server_id, row.value, since)
    return found


def _decode(server_id: str, raw: bytes, since: int) -> FormerTasks:
    try:
        record = msgspec.json.decode(raw, type=_Record)
    except msgspec.DecodeError as exc:
        logger.error("server_record_unreadable", server=server_id, cause=str(exc))
        return FormerTasks(None)
    names = None
    if record.tasks is not None and since and record.epoch >= since:
        names = frozenset(record.tasks)
    return FormerTasks(names, record.address, record.capacity)


class ServerRecords:
    """Writes the rows of the servers during one term."""

    def __init__(
        self, writer: RowWriter, former: Mapping[str, FormerTasks], epoch: int
    ) -> None:
        self._writer = writer
        self._epoch = epoch
        self._open = {each for each, tasks in former.items() if tasks.names is None}
        self._restricted = set(former) - self._open

    @property
    def server_ids(self) -> frozenset[str]:
        """The ids of the servers that have a row, stored or queued."""
        return frozenset(self._open | self._restricted)

    def has_row(self, server_id: str) -> bool:
        """Return whether a server has a row, stored or queued."""
        return server_id in self._open or server_id in self._restricted

    def is_open(self, server_id: str) -> bool:
        """Return whether the newest row of a server, stored or queued, is open."""
        return server_id in self._open

    def open(self, entry: ServerEntry) -> int:
        """Queue an open row for a server and return the position of the write."""
        self._restricted.discard(entry.server_id)
        self._open.add(entry.server_id)
        return self._put(entry, None)

    def restrict(self, entry: ServerEntry, tasks: Iterable[str]) -> int:
        """Queue a row that names all tasks that may run on a server.

        Return the position of the write.
        """
        self._open.discard(entry.server_id)
        self._restricted.add(entry.server_id)
        return self._put(entry, sorted(set(tasks)))

    def remove(self, server_id: str) -> None:
        """Queue the removal of a server's row, if it has one."""
        if self.has_row(server_id):
            self._open.discard(server_id)
            self._restricted.discard(server_id)
            self._writer.put(Write(_key(server_id), None))

    def _put(self, entry: ServerEntry, tasks: list[str] | None) -> int:
        record = _Record(entry.address, tasks, self._epoch, entry.capacity)
        value = msgspec.json.encode(record)
        return self._writer.put(Write(_key(entry.server_id), value))


def _key(server_id: str) -> str:
    return f"{RECORDS_PREFIX}{server_id}"
