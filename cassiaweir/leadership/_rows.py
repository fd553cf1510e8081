"""The two rows of the store that record who leads.

The owner row names the leader.  All processes watch it, and the leader rewrites it
regularly as a heartbeat.  The guard row fences the leader's transactions: each of them
rewrites it and requires its previous version, so a late or repeated transaction
conflicts and writes nothing.  The guard row is in a table of its own, so that watchers
of the owner row are not notified of every transaction.
"""

from __future__ import annotations

import msgspec

from cassiaweir.types import Row

LEAD_PREFIX = "lead/main/"
OWNER_KEY = "lead/main/owner"
GUARD_KEY = "guard/main/guard"


class Owner(msgspec.Struct, frozen=True):
    """The process that leads, as stored in the owner row.

    `node` is the name of its VM and `instance` identifies the process; `address` is
    where peers call it.  `released` means that it has given up the leadership.
    `settled` means that no earlier leader can still give orders, and that this leader
    knows all runs that earlier ones started.  Every leader from epoch
    `task_records_since` on records the tasks that it starts in its own failure domain;
    it is 0 if this one does not, as in earlier builds.  The orders of the leader carry
    fences from `epoch` - `fences` + 1 to `epoch`, a single one in earlier builds, so
    that any successor begins above them.  `term` numbers the leaderships, 0 in rows of
    earlier builds, which number them by `epoch`.
    """

    epoch: int
    node: str
    instance: str
    address: str
    released: bool = False
    settled: bool = False
    task_records_since: int = 0
    fences: int = 1
    term: int = 0

    @property
    def term_number(self) -> int:
        """The number of the leadership, higher than those of all earlier ones."""
        return self.term or self.epoch


class Guard(msgspec.Struct, frozen=True):
    """Identifies the newest transaction of a leader, as stored in the guard row.

    `sequence` numbers the transactions of an epoch.  The takeover that begins the epoch
    has a random negative number instead, which tells competing takeovers apart.
    """

    epoch: int
    sequence: int


def decode_owner(row: Row | None) -> Owner | None:
    """Return the owner in `row`, or None if the row is missing or malformed."""
    if row is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=Owner)
    except msgspec.DecodeError:
        return None


def decode_guard(row: Row | None) -> Guard | None:
    """Return the guard in `row`, or None if the row is missing or malformed."""
    if row is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=Guard)
    except msgspec.DecodeError:
        return None
