"""The state of a leadership, and how long a leader may act without confirmation."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from cassiaweir.leadership._rows import Owner

LEADERSHIP_VALIDITY = timedelta(seconds=6)
"""A leader stops giving orders this long after its last successful transaction.

Servers refuse the orders of a former leader once its successor has called them, so this
limit only matters on servers that the successor cannot reach.
"""


@dataclass(slots=True, eq=False)
class Leadership:
    """This process's leadership during one epoch.

    `owner_version` is the version of the rows that the takeover wrote; rows with a
    lower one are older than this leadership.  `guard_version` is the version of the
    guard row after the newest stored transaction.  `confirmed_at` is when the
    newest successful transaction was sent, on the monotonic clock that also advances
    while the process is suspended.  `former` is the previous leader.  `sequence`
    numbers the newest transaction.  `acquired_at` is when the takeover was sent.
    While `releasing`, the leadership is being given
    up and a successor may already act.  `settled` is as in `Owner`.
    """

    owner: Owner
    owner_version: int
    guard_version: int
    confirmed_at: float
    former: Owner | None = None
    sequence: int = 0
    acquired_at: float = 0.0
    lost: bool = False
    releasing: bool = False
    settled: bool = False

    @property
    def epoch(self) -> int:
        """The highest fence of this leadership, above those of all earlier ones."""
        return self.owner.epoch

    @property
    def first_fence(self) -> int:
        """The lowest fence of this leadership; servers refuse orders of a lower one."""
        return self.owner.epoch - self.owner.fences + 1

    @property
    def term_number(self) -> int:
        """The number of this leadership, higher than those of all earlier ones."""
        return self.owner.term_number

    def may_act(self, now: float) -> bool:
        """Return whether orders may still be given at `now`, on the monotonic clock."""
        if self.lost or self.releasing:
            return False
        return now - self.confirmed_at < LEADERSHIP_VALIDITY.total_seconds()
