"""Bounded queue of acquire requests for one service, shared fairly by teams."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cassiaweir.requests._models import AcquireRequest
from cassiaweir.types import Urgency

URGENT_LEAD_GRANTS_PER_SHARE = 8.0
"""Virtual time by which urgent requests may put their team ahead of the others."""


@dataclass(slots=True)
class _TeamQueue:
    """The queued requests of one team.

    `virtual_time` is the number of grants that the team received, divided by its share.
    """

    virtual_time: float
    urgent: deque[AcquireRequest] = field(default_factory=deque)
    normal: deque[AcquireRequest] = field(default_factory=deque)

    def queue(self, urgency: Urgency) -> deque[AcquireRequest]:
        return self.urgent if urgency is Urgency.URGENT else self.normal

    def __len__(self) -> int:
        return len(self.urgent) + len(self.normal)


class FairQueue:
    """Weighted fair queue: orders requests by urgency and by their team's virtual time.

    The virtual time of a team is the number of its grants divided by its share.  A team
    whose queue was empty is moved forward to the virtual time of the latest grants, so
    that idle time earns no credit.  Urgent requests go first until the virtual time of
    their team is `URGENT_LEAD_GRANTS_PER_SHARE` ahead of the lowest one.  `limit`
    bounds the queued requests of each team and urgency.
    """

    def __init__(self, share: Callable[[str], float], limit: int) -> None:
        self._share = share
        self._limit = limit
        self._team_queues: dict[str, _TeamQueue] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._team_queues.values())

    def __iter__(self) -> Iterator[AcquireRequest]:
        for queue in self._team_queues.values():
            yield from queue.urgent
            yield from queue.normal

    def is_full(self, team: str, urgency: Urgency) -> bool:
        """Return whether `team` has reached the limit of requests of `urgency`."""
        queue = self._team_queues.get(team)
        return queue is not None and len(queue.queue(urgency)) >= self._limit

    def expected_ahead(self, team: str, urgency: Urgency) -> float:
        """Return the expected number of requests served before a new one."""
        queue = self._team_queues.get(team)
        own_ahead = 0 if queue is None else len(queue.urgent)
        if queue is not None and urgency is Urgency.NORMAL:
            own_ahead += len(queue.normal)
        others_ahead = 0.0
        for name, other in self._team_queues.items():
            if name != team:
                share_ahead = (own_ahead + 1) * self._share(name) / self._share(team)
                others_ahead += min(len(other), share_ahead)
        return own_ahead + others_ahead

    def add(self, request: AcquireRequest) -> None:
        """Append `request` to the queue of its team and urgency."""
        queue = self._team_queues.get(request.team)
        if queue is None:
            queue = self._team_queues[request.team] = _TeamQueue(self._virtual_time)
        if not queue:
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        queue.queue(request.urgency).append(request)

    def remove(self, matches: Callable[[AcquireRequest], bool]) -> list[AcquireRequest]:
        """Remove and return all requests for which `matches` returns True."""
        removed = [request for request in self if matches(request)]
        removed_set = set(removed)
        for queue in self._team_queues.values() if removed_set else ():
            queue.urgent = deque(
                request for request in queue.urgent if request not in removed_set
            )
            queue.normal = deque(
                request for request in queue.normal if request not in removed_set
            )
        return removed

    def candidates(self) -> list[AcquireRequest]:
        """Return the first request of each team and urgency, the next one first."""
        team_queues = [
            (name, queue) for name, queue in self._team_queues.items() if queue
        ]
        if not team_queues:
            return []
        min_virtual_time = min(queue.virtual_time for _, queue in team_queues)
        ranked: list[tuple[bool, float, str, AcquireRequest]] = []
        for name, queue in team_queues:
            lead_used_up = (
                queue.virtual_time - min_virtual_time > URGENT_LEAD_GRANTS_PER_SHARE
            )
            if queue.urgent:
                ranked.append((lead_used_up, queue.virtual_time, name, queue.urgent[0]))
            if queue.normal:
                ranked.append((True, queue.virtual_time, name, queue.normal[0]))
        ranked.sort(key=lambda entry: entry[:3])
        return [entry[3] for entry in ranked]

    def take(self, request: AcquireRequest) -> None:
        """Remove `request` after its grant and advance its team's virtual time.

        `request` must be one that `candidates` returned.
        """
        queue = self._team_queues[request.team]
        queue.queue(request.urgency).popleft()
        self._virtual_time = max(self._virtual_time, queue.virtual_time)
        queue.virtual_time += 1 / self._share(request.team)
        if not queue and queue.virtual_time <= self._virtual_time:
            del self._team_queues[request.team]

    def charge(self, team: str) -> None:
        """Advance the virtual time of `team` for a grant outside of the queue."""
        queue = self._team_queues.get(team)
        if queue is None:
            queue = self._team_queues[team] = _TeamQueue(self._virtual_time)
        queue.virtual_time = max(
            queue.virtual_time, self._virtual_time
        ) + 1 / self._share(team)
