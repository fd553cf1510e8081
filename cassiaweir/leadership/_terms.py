"""What a leader holds, and how long it may act on it."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from cassiaweir.leadership._rows import Owner

LEADERSHIP_VALIDITY = timedelta(seconds=6)
"""A leader that has stored nothing for so long stops giving orders.

Servers refuse the orders of a former leader once its successor has called them, so
this bounds only what happens on servers that the successor cannot reach.
"""


@dataclass(slots=True, eq=False)
class Leadership:
    """The lead of one epoch.

    `confirmed_at` is when the newest transaction that succeeded was sent, on the
    clock that counts while the process is stopped.  `former` is who led before.  While
    `releasing`, the lead is being given up and a successor may act already.  `settled`
    is as in the owner row.
    """

    owner: Owner
    owner_version: int
    guard_version: int
    confirmed_at: float
    former: Owner | None = None
    sequence: int = 0
    lost: bool = False
    releasing: bool = False
    settled: bool = False

    @property
    def epoch(self) -> int:
        """The number that servers follow; higher ones replace it."""
        return self.owner.epoch

    def may_act(self, now: float) -> bool:
        """Tell whether orders may still be given at `now`."""
        if self.lost or self.releasing:
            return False
        return now - self.confirmed_at < LEADERSHIP_VALIDITY.total_seconds()
