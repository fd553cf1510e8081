"""Removes refusal rows that nothing needs any more."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from cassiaweir.dispatch._refusal_rows import Refusal
from cassiaweir.types import Clock, Row


class RefusalExpiry:
    """Passes each refusal row to `remove` once it is no longer needed.

    A row counts from when this leader has seen it, as clocks of other processes may be
    off.  `remove` does nothing if the row has changed since.
    """

    def __init__(self, clock: Clock, remove: Callable[[Row], None]) -> None:
        self._clock = clock
        self._remove = remove
        self._versions: dict[str, int] = {}
        self._expiries: list[tuple[float, str, int]] = []

    def note(self, row: Row, refusal: Refusal) -> None:
        """Remember a row that was stored or read, which may be seen more than once."""
        if self._versions.get(row.key, 0) >= row.version:
            return
        self._versions[row.key] = row.version
        expires_at = self._clock.monotonic() + refusal.validity_s
        heapq.heappush(self._expiries, (expires_at, row.key, row.version))

    def forget(self, key: str) -> None:
        """Forget a row that a job has replaced."""
        self._versions.pop(key, None)

    def remove_expired(self) -> None:
        """Pass on the rows that are not needed any more."""
        now = self._clock.monotonic()
        while self._expiries and self._expiries[0][0] <= now:
            _, key, version = heapq.heappop(self._expiries)
            if self._versions.get(key) == version:
                del self._versions[key]
                self._remove(Row(key, version, b""))
