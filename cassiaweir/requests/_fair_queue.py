"""The bounded queue of wants for one service: urgent first, fair between teams."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cassiaweir.requests._models import AcquireRequest
from cassiaweir.types import Urgency

URGENT_LEAD = 8.0
"""Grants per unit of share by which urgent wants of a team may run ahead."""


@dataclass(slots=True)
class _TeamLine:
    """The waiting wants of one team and the grants it had, over its share."""

    served: float
    urgent: deque[AcquireRequest] = field(default_factory=deque)
    normal: deque[AcquireRequest] = field(default_factory=deque)

    def line(self, urgency: Urgency) -> deque[AcquireRequest]:
        return self.urgent if urgency is Urgency.URGENT else self.normal

    def __len__(self) -> int:
        return len(self.urgent) + len(self.normal)


class FairQueue:
    """Orders wants by class and by what each team was granted over its share.

    A team that had nothing waiting starts at the level of the team served least, so
    that idle time earns no credit.  Urgent wants go first until their team is
    `URGENT_LEAD` ahead of the team served least.
    """

    def __init__(self, share: Callable[[str], float], limit: int) -> None:
        self._share = share
        self._limit = limit
        self._lines: dict[str, _TeamLine] = {}
        self._level = 0.0

    def __len__(self) -> int:
        return sum(len(line) for line in self._lines.values())

    def __iter__(self) -> Iterator[AcquireRequest]:
        for line in self._lines.values():
            yield from line.urgent
            yield from line.normal

    def full(self, team: str, urgency: Urgency) -> bool:
        """Tell whether the team may have no further want of this class waiting."""
        line = self._lines.get(team)
        return line is not None and len(line.line(urgency)) >= self._limit

    def ahead(self, team: str, urgency: Urgency) -> float:
        """Return how many wants are served before a new one, by share."""
        line = self._lines.get(team)
        own = 0 if line is None else len(line.urgent)
        if line is not None and urgency is Urgency.NORMAL:
            own += len(line.normal)
        others = 0.0
        for name, other in self._lines.items():
            if name != team:
                fair = (own + 1) * self._share(name) / self._share(team)
                others += min(len(other), fair)
        return own + others

    def add(self, request: AcquireRequest) -> None:
        """Put `request` at the end of its team's line."""
        line = self._lines.get(request.team)
        if line is None:
            line = self._lines[request.team] = _TeamLine(self._level)
        if not line:
            line.served = max(line.served, self._level)
        line.line(request.urgency).append(request)

    def remove(
        self, unwanted: Callable[[AcquireRequest], bool]
    ) -> list[AcquireRequest]:
        """Take out and return all wants that `unwanted` picks."""
        removed = [request for request in self if unwanted(request)]
        gone = set(removed)
        for line in self._lines.values() if gone else ():
            line.urgent = deque(
                request for request in line.urgent if request not in gone
            )
            line.normal = deque(
                request for request in line.normal if request not in gone
            )
        return removed

    def candidates(self) -> list[AcquireRequest]:
        """Return the first want of each team and class, in the order of service."""
        lines = [(name, line) for name, line in self._lines.items() if line]
        if not lines:
            return []
        least = min(line.served for _, line in lines)
        ranked: list[tuple[bool, float, str, AcquireRequest]] = []
        for name, line in lines:
            behind = line.served - least > URGENT_LEAD
            if line.urgent:
                ranked.append((behind, line.served, name, line.urgent[0]))
            if line.normal:
                ranked.append((True, line.served, name, line.normal[0]))
        ranked.sort(key=lambda entry: entry[:3])
        return [entry[3] for entry in ranked]

    def take(self, request: AcquireRequest) -> None:
        """Remove `request`, which `candidates` returned, and charge its team."""
        line = self._lines[request.team]
        line.line(request.urgency).popleft()
        self._level = max(self._level, line.served)
        line.served += 1 / self._share(request.team)
        if not line and line.served <= self._level:
            del self._lines[request.team]

    def charge(self, team: str) -> None:
        """Charge `team` for a want that was served without waiting."""
        line = self._lines.get(team)
        if line is None:
            line = self._lines[team] = _TeamLine(self._level)
        line.served = max(line.served, self._level) + 1 / self._share(team)
