"""Stored rows that name the servers, and tasks, that a leader may have started.

The row of a server is stored before the first start there, and a successor reads it.
An open row says that any task may run on the server, a restricted one names all that
may.  A successor holds back nothing but those tasks while it cannot reach the server.

Rows of servers in the leader's own failure domain are restricted, and rewritten
before each start: a domain that is cut off takes its leader along, and nobody else can
then ask these servers what they run.  So are the rows of servers out of reach.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec
from loguru import logger

from cassiaweir.dispatch._job_registry import RowWriter
from cassiaweir.dispatch._leases import LEASE_S, SUSPECT_LEASE_S
from cassiaweir.dispatch._server_entry import ServerEntry
from cassiaweir.leadership import Owner
from cassiaweir.types import Resources, Row, Write

RECORDS_PREFIX = "known/main/"
MAX_RECORD_BYTES = 48_000
"""A row that would be longer does not name the tasks: any task may then run there."""


class _Record(msgspec.Struct, omit_defaults=True):
    """A stored row; `tasks` is None while any task may run on the server.

    `epoch` is that of the leader that wrote it, 0 in rows of builds without `tasks`.
    `capacity` is that of the server by then, None in rows of builds without it.
    `lease_s` is the longest lease that the server may have been given, in seconds.
    `born` is the lifetime that the row was written for, 0 in rows of builds without it.
    `forgets_ends` means that this lifetime may forget ends unread.
    """

    address: str
    tasks: list[str] | None = None
    epoch: int = 0
    capacity: Resources | None = None
    lease_s: float = LEASE_S
    born: int = 0
    forgets_ends: bool = False


@dataclass(frozen=True, slots=True)
class FormerTasks:
    """The tasks that former leaders may have started on one server.

    `names` is None if it may be any task.  `address` is the server's, empty if its row
    is unreadable.  `capacity` is what the server had when the row was written, None if
    that is unknown.  `lease_s` is the longest lease that the server may have, in
    seconds.  `born` is the lifetime that the row was written for, 0 if that is unknown,
    and `forgets_ends` means that it may forget ends unread.
    """

    names: frozenset[str] | None
    address: str = ""
    capacity: Resources | None = None
    lease_s: float = LEASE_S
    born: int = 0
    forgets_ends: bool = False


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
        return FormerTasks(None, lease_s=SUSPECT_LEASE_S)
    names = None
    if record.tasks is not None and since and record.epoch >= since:
        names = frozenset(record.tasks)
    return FormerTasks(
        names,
        record.address,
        record.capacity,
        record.lease_s,
        record.born,
        record.forgets_ends,
    )


class ServerRecords:
    """Writes the rows of the servers during one term."""

    def __init__(
        self, writer: RowWriter, former: Mapping[str, FormerTasks], epoch: int
    ) -> None:
        self._writer = writer
        self._epoch = epoch
        self._open = {each for each, tasks in former.items() if tasks.names is None}
        self._restricted = set(former) - self._open
        self._long_leases_s = {
            each: tasks.lease_s
            for each, tasks in former.items()
            if tasks.lease_s > LEASE_S
        }
        self._born = {each: tasks.born for each, tasks in former.items()}
        self._forgetful = {each for each, tasks in former.items() if tasks.forgets_ends}

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

    def allows_long_leases(self, server_id: str) -> bool:
        """Return whether the row of a server allows leases longer than `LEASE_S`."""
        return server_id in self._long_leases_s

    def born_of(self, server_id: str) -> int:
        """Return the lifetime that a server's row is for, 0 if that is unknown."""
        return self._born.get(server_id, 0)

    def forgets_ends(self, server_id: str) -> bool:
        """Return whether the lifetime of the row may forget ends unread."""
        return server_id in self._forgetful

    def set_lifetime(self, server_id: str, born: int, *, forgets_ends: bool) -> None:
        """Set which lifetime the next rows of a server are for."""
        self._born[server_id] = born
        if forgets_ends:
            self._forgetful.add(server_id)
        else:
            self._forgetful.discard(server_id)

    def set_long_leases(
        self,
        entry: ServerEntry,
        tasks: Iterable[str] | None,
        lease_s: float = SUSPECT_LEASE_S,
    ) -> int:
        """Queue a row that allows leases of `lease_s`; return the write's position.

        It names `tasks`, or is open if they are None.
        """
        allowed_s = self._long_leases_s.get(entry.server_id, LEASE_S)
        self._long_leases_s[entry.server_id] = max(allowed_s, lease_s)
        return self.open(entry) if tasks is None else self.restrict(entry, tasks)

    def shorten_leases(self, entry: ServerEntry, tasks: Iterable[str]) -> None:
        """Queue the same row without long leases, of which none may be in force.

        A restricted row then names `tasks`.
        """
        self._long_leases_s.pop(entry.server_id, None)
        if self.is_open(entry.server_id):
            self.open(entry)
        elif self.has_row(entry.server_id):
            self.restrict(entry, tasks)

    def open(self, entry: ServerEntry) -> int:
        """Queue an open row for a server and return the position of the write."""
        self._restricted.discard(entry.server_id)
        self._open.add(entry.server_id)
        return self._put(entry, None)

    def restrict(self, entry: ServerEntry, tasks: Iterable[str]) -> int:
        """Queue a row that names all tasks that may run on a server.

        It is open if they are too many to be named.  Return the position of the write.
        """
        names = sorted(set(tasks))
        if not self.can_name(entry, names):
            logger.warning(
                "server_row_left_open", server=entry.server_id, tasks=len(names)
            )
            return self.open(entry)
        self._open.discard(entry.server_id)
        self._restricted.add(entry.server_id)
        return self._put(entry, names)

    def can_name(self, entry: ServerEntry, tasks: Sequence[str]) -> bool:
        """Return whether the row of a server has room for the names of `tasks`."""
        return len(self._encode(entry, tasks)) <= MAX_RECORD_BYTES

    def remove(self, server_id: str) -> None:
        """Queue the removal of a server's row, if it has one."""
        if self.has_row(server_id):
            self._open.discard(server_id)
            self._restricted.discard(server_id)
            self._long_leases_s.pop(server_id, None)
            self._born.pop(server_id, None)
            self._forgetful.discard(server_id)
            self._writer.put(Write(_key(server_id), None))

    def _put(self, entry: ServerEntry, tasks: Sequence[str] | None) -> int:
        write = Write(_key(entry.server_id), self._encode(entry, tasks))
        return self._writer.put(write, urgent=True)

    def _encode(self, entry: ServerEntry, tasks: Sequence[str] | None) -> bytes:
        names = None if tasks is None else list(tasks)
        record = _Record(
            entry.address,
            names,
            self._epoch,
            entry.capacity,
            self._long_leases_s.get(entry.server_id, LEASE_S),
            self.born_of(entry.server_id),
            self.forgets_ends(entry.server_id),
        )
        return msgspec.json.encode(record)


def _key(server_id: str) -> str:
    return f"{RECORDS_PREFIX}{server_id}"
