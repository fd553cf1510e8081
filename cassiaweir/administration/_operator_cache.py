"""A copy of the operators, so that they can look at a cell whose table is down."""

from __future__ import annotations

import asyncio
import contextlib
import hmac
from datetime import timedelta

import msgspec

from cassiaweir.configuration import Operator, Operators, secret_digest
from cassiaweir.exceptions import UnavailableError
from cassiaweir.types import Clock

COPY_INTERVAL = timedelta(seconds=30)
LONGEST_OUTAGE = timedelta(hours=12)


class OperatorCache:
    """Authenticates operators, for reading also while the table is down.

    Changes always ask the table.  A reader whose credential was in the last copy is
    admitted for `LONGEST_OUTAGE` after it was made: what an operator reads holds no
    secrets, and it is needed most when the table is away.
    """

    def __init__(self, operators: Operators, clock: Clock) -> None:
        self._operators = operators
        self._clock = clock
        self._known: dict[str, Operator] = {}
        self._copied_at = float("-inf")
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to copy the operators."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop copying."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def authenticate(self, secret: str, *, reading: bool) -> Operator:
        """Return the operator whose credential is `secret`.

        Raises `RefusedError`, and `UnavailableError` where the table cannot be read
        and the copy does not serve.
        """
        try:
            return await self._operators.authenticate(secret)
        except UnavailableError:
            if not reading:
                raise
            operator = self._find(secret_digest(secret))
            if operator is None:
                raise
            return operator

    async def refresh(self) -> None:
        """Copy the operators once, or raise `UnavailableError`."""
        copied_at = self._clock.monotonic()
        self._known = await self._operators.by_digest()
        self._copied_at = copied_at

    def _find(self, digest: str) -> Operator | None:
        """Return the copied operator; the last comparison takes constant time."""
        age = self._clock.monotonic() - self._copied_at
        if age > LONGEST_OUTAGE.total_seconds():
            return None
        for known, operator in self._known.items():
            if hmac.compare_digest(known, digest):
                return operator
        return None

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(UnavailableError, msgspec.MsgspecError):
                await self.refresh()
            await self._clock.sleep(COPY_INTERVAL)
