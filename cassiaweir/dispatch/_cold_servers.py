"""Servers that are slow for some time after their start, and what runs there first."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._waiting_steps import URGENT_PRIORITY, WaitingStep

LATEST_START_MARGIN_S = 0.1
"""Urgent work stops waiting for a warm server this long before its latest start.

Rounds of placement are at most this far apart.
"""


class ColdServers:
    """Marks servers as cold, and keeps urgent work off them while others can use them.

    Urgent work that has to wait for a warm server does so only while work that can wait
    is there to use the cold ones, and at most until its latest start that meets the
    deadline.
    """

    def __init__(self) -> None:
        self._until: dict[str, tuple[Server, float]] = {}
        self._now = 0.0
        self._others_wait = False
        self._warm_services: frozenset[str] = frozenset()

    def note(self, server: Server, now: float) -> None:
        """Apply the entry of `server` that was read at `now`."""
        left_s = server.entry.cold_left_s
        server.cold = left_s > 0
        if server.cold:
            self._until[server.server_id] = (server, now + left_s)
        else:
            self._until.pop(server.server_id, None)

    def begin_round(
        self, usable: Iterable[Server], found: Iterable[WaitingStep], now: float
    ) -> None:
        """Prepare a placement round on the `usable` servers for the `found` steps."""
        if not self._until:
            return
        for server_id, (server, until) in list(self._until.items()):
            if now >= until:
                server.cold = False
                del self._until[server_id]
        self._now = now
        self._others_wait = any(
            each.queue.priority != URGENT_PRIORITY for each in found
        )
        self._warm_services = frozenset(
            each.entry.service for each in usable if not each.cold
        )

    def expect_others(self) -> None:
        """Let urgent work wait as if other work were there to use the cold servers.

        Between two rounds it is not known which other work waits.
        """
        self._others_wait = True

    def allowed(
        self, waiting: WaitingStep, servers: Sequence[Server]
    ) -> Sequence[Server]:
        """Return those of `servers` that a step may use in this round."""
        if not self._until or waiting.queue.priority != URGENT_PRIORITY:
            return servers
        if not self._others_wait or waiting.queue.service not in self._warm_services:
            return servers
        if self._now >= waiting.rank.latest_start - LATEST_START_MARGIN_S:
            return servers
        return [each for each in servers if not each.cold]
