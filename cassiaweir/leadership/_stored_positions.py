"""Which of the leader's writes are stored, and who waits for them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from cassiaweir.exceptions import LeadershipLostError, RowRejectedError


class StoredPositions:
    """Tells which writes are stored, by their positions in the order of writes.

    All up to `complete` are stored, but those of rows that the store refuses; some
    after it may be as well.
    """

    def __init__(self) -> None:
        self.complete = 0
        self._unstored: set[int] = set()
        self._rejected: dict[str, set[int]] = {}
        self._waiters: dict[asyncio.Future[None], Callable[[], bool]] = {}
        self._closed = False

    @property
    def rejected_rows(self) -> int:
        """How many rows the store refuses in their newest form."""
        return len(self._rejected)

    def add(self, position: int) -> None:
        """Note a write that is queued."""
        self._unstored.add(position)

    def reject(self, key: str, positions: Collection[int]) -> None:
        """Note that the store refuses a row, until it is written in another form."""
        self._rejected.setdefault(key, set()).update(positions)
        self._unstored.difference_update(positions)

    def mark_stored(self, key: str, positions: Collection[int]) -> None:
        """Note that the newest form of a row is stored."""
        self._unstored.difference_update(positions)
        self._rejected.pop(key, None)

    def advance(self, complete: int) -> None:
        """Note that all writes up to `complete` are stored, and wake who waits."""
        self.complete = max(self.complete, complete)
        self._wake()

    def close(self) -> None:
        """Let all that wait fail, as nothing more is stored."""
        self._closed = True
        self._wake()

    def is_rejected(self, position: int) -> bool:
        """Return whether the write at `position` is one that the store refuses."""
        return any(position in each for each in self._rejected.values())

    def is_complete(self, position: int) -> bool:
        """Return whether the write at `position` and those before it are stored.

        Writes before it that the store refuses are left out.
        """
        return self.complete >= position and not self.is_rejected(position)

    def is_row_stored(self, position: int) -> bool:
        """Return whether the write at `position` is stored, whatever is before it."""
        return position not in self._unstored and not self.is_rejected(position)

    async def wait_complete(self, position: int) -> None:
        """Wait until the write at `position` and those before it are stored.

        Raises `LeadershipLostError` if the leadership is lost before that, and
        `RowRejectedError` if the store refuses the write.
        """
        await self._wait(lambda: self.complete >= position)
        if self.is_rejected(position):
            raise RowRejectedError(f"the store refuses the row at position {position}")

    async def wait_stored(self, positions: Collection[int]) -> set[int]:
        """Wait until the writes at `positions` are stored, whatever is before them.

        Return those that the store refuses instead.  Raises `LeadershipLostError` if
        the leadership is lost before that.
        """
        await self._wait(lambda: self._unstored.isdisjoint(positions))
        return {position for position in positions if self.is_rejected(position)}

    async def _wait(self, stored: Callable[[], bool]) -> None:
        if not stored() and not self._closed:
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters[future] = stored
            try:
                await future
            finally:
                del self._waiters[future]
        if not stored():
            raise LeadershipLostError(
                "leadership was lost before the queued rows were stored"
            )

    def _wake(self) -> None:
        """Wake those of which all that they wait for is stored."""
        for future, stored in self._waiters.items():
            if not future.done() and (self._closed or stored()):
                future.set_result(None)
