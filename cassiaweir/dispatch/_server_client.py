"""The calls that a leader makes to backend servers."""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

from cassiaweir.dispatch._server_entry import (
    OrderOutcome,
    ServerEntry,
    ServerReport,
    StartOrder,
)


class ServerClient(Protocol):
    """Calls backend servers.

    A call that gets no answer raises `UnavailableError`, whose verdict tells whether
    the server may have carried it out.
    """

    async def renew_lease(
        self,
        entry: ServerEntry,
        *,
        epoch: int,
        until_ms: int | None,
        acknowledged: int,
        wait: timedelta,
        timeout: timedelta,
    ) -> ServerReport:
        """Extend the lease of all runs on a server and return its report.

        The lease lasts until `until_ms` on the server's clock; None leaves it as it is.
        The server forgets the ends up to number `acknowledged`, and may delay its
        answer by up to `wait` until a run ends.  `timeout` is counted from the end of
        that wait.  Raises `FencedError` if the server follows a higher epoch.
        """

    async def start(
        self, entry: ServerEntry, order: StartOrder, timeout: timedelta
    ) -> OrderOutcome:
        """Start a run; repeating the same order has no further effect."""

    async def stop_run(
        self, entry: ServerEntry, task: str, run: int, epoch: int, timeout: timedelta
    ) -> OrderOutcome:
        """Stop a run, or prevent it from starting later."""
