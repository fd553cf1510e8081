"""The protocols of the platform's table and object store."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the platform's table; `version` rises with every write of the key."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Check:
    """A condition of a transaction: `key` must be at `version` when it commits.

    Version 0 means that the row must be absent.
    """

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Sets `key` to `value`, or deletes it if `value` is None."""

    key: str
    value: bytes | None


class Table(Protocol):
    """The platform's transactional table service.

    Every method raises `UnavailableError` where the service gave no usable answer.
    The verdict of that error is always NOT_RUN for reads.
    """

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist among `keys`, from one snapshot."""

    async def scan(self, prefix: str, *, after: str = "", limit: int = 0) -> list[Row]:
        """Return the rows whose key starts with `prefix` and follows `after`.

        They are ordered by key.  At most `limit` rows are returned, all of them where
        it is 0.
        """

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> dict[str, int]:
        """Apply all `writes` if all `checks` hold, and return the new versions.

        Raises `TransactionRejectedError` when the service refuses it for good.
        Raises `ConflictError` when a check failed and nothing was written.  Raises
        `UnavailableError` with MAY_HAVE_RUN when the outcome is still unknown.
        """


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, name: str, body: bytes) -> None:
        """Store `body` under `name`, replacing what was there."""

    async def get(self, name: str) -> bytes:
        """Return the body stored under `name`, or raise `NotFoundError`."""
