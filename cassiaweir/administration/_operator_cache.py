"""A copy of the operators, so that they can read from a cell whose table is down."""

from __future__ import annotations

import asyncio
import contextlib
import hmac
from datetime import timedelta

import msgspec

from cassiaweir.configuration import Operator, Operators, secret_digest
from cassiaweir.exceptions import UnavailableError
from cassiaweir.types import Clock

REFRESH_INTERVAL = timedelta(seconds=30)
MAX_COPY_AGE = timedelta(hours=12)


class OperatorCache:
    """Authenticates operators, and for reads also while the table is down.

    The copy is used only for reads; a change always needs the table.  A credential in
    the last copy is accepted until that copy is `MAX_COPY_AGE` old.  This is safe, as
    operators read no secrets, and useful, as they need to read most when the table is
    down.
    """

    def __init__(self, operators: Operators, clock: Clock) -> None:
        self._operators = operators
        self._clock = clock
        self._by_digest: dict[str, Operator] = {}
        self._copied_at = float("-inf")
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start refreshing the copy at regular intervals."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop refreshing the copy."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def authenticate(self, secret: str, *, reading: bool) -> Operator:
        """Return the operator whose credential is `secret`.

        Raises `RefusedError` if there is no such operator, and `UnavailableError` if
        the table cannot be read and either `reading` is false or the copy is too old
        or lacks the credential.
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
        """Copy the operators from the table once, or raise `UnavailableError`."""
        copied_at = self._clock.monotonic()
        self._by_digest = await self._operators.by_digest()
        self._copied_at = copied_at

    def _find(self, digest: str) -> Operator | None:
        """Return the operator in the copy whose credential has this digest.

        Returns None if there is none or the copy is too old.  Digests are compared in
        constant time, so that timing does not reveal them.
        """
        age = self._clock.monotonic() - self._copied_at
        if age > MAX_COPY_AGE.total_seconds():
            return None
        for known_digest, operator in self._by_digest.items():
            if hmac.compare_digest(known_digest, digest):
                return operator
        return None

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(UnavailableError, msgspec.MsgspecError):
                await self.refresh()
            await self._clock.sleep(REFRESH_INTERVAL)
