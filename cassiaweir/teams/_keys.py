"""Grants, withdraws and lists the keys of teams, which are stored only as digests."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta

import msgspec

from cassiaweir.configuration import (
    AuditedTable,
    KeyRow,
    Operator,
    OperatorRole,
    secret_digest,
)
from cassiaweir.configuration._rows import (
    KEY_PREFIX,
    KEYS_HEAD,
    Counter,
    decode_counter,
    unchanged_check,
)
from cassiaweir.exceptions import (
    ConflictError,
    InvalidInputError,
    NotFoundError,
    UnavailableError,
)
from cassiaweir.store import scan_in_pages
from cassiaweir.types import Check, Clock, Row, Write

SECRET_BYTES = 32
KEY_USES = "key_use/"
STORE_INTERVAL = timedelta(minutes=1)
MIN_PREFIX_DIGITS = 8
MAX_COMMIT_ATTEMPTS = 16
# Two matches are enough to see that a prefix is ambiguous.
MAX_PREFIX_MATCHES = 2
AUDIT_AREA = "keys"


class KeyUse(msgspec.Struct, frozen=True):
    """The row `key_use/<digest>`, which holds when the key was used last."""

    last_use: datetime


@dataclass(frozen=True, slots=True)
class GrantedKey:
    """A new key; `secret` is shown to the operator once and stored nowhere."""

    secret: str
    digest: str
    team: str


@dataclass(frozen=True, slots=True)
class ListedKey:
    """A key as operators see it; `last_use` is None if no use has been stored."""

    digest: str
    team: str
    withdrawn: bool
    granted_by: str
    granted_at: str
    last_use: datetime | None


class KeyRegistry:
    """Grants and withdraws keys.

    Each change increments the version in `keys/head` and writes its audit row in the
    same transaction.  Raises `UnavailableError` with MAY_HAVE_RUN if the outcome of
    the transaction is unknown.
    """

    def __init__(self, audited: AuditedTable, clock: Clock) -> None:
        self._audited = audited
        self._table = audited.table
        self._clock = clock

    async def grant(self, operator: Operator, team: str) -> GrantedKey:
        """Create a key of `team`, and return it with its secret, which is not stored.

        The caller has checked that the bundle in force has the team.
        """
        operator.require(OperatorRole.ON_CALL)
        secret = secrets.token_urlsafe(SECRET_BYTES)
        digest = secret_digest(secret)
        key = KeyRow(team, operator.name, self._clock.now().isoformat())
        check = Check(KEY_PREFIX + digest, 0)
        await self._change(operator, "grant", digest, key, check)
        return GrantedKey(secret, digest, team)

    async def withdraw(self, operator: Operator, prefix: str) -> str:
        """Withdraw the key whose digest starts with `prefix`, and return the digest.

        Withdrawing a key that is already withdrawn changes nothing.
        """
        operator.require(OperatorRole.ON_CALL)
        row = await self._find(prefix)
        digest = row.key.removeprefix(KEY_PREFIX)
        key = msgspec.json.decode(row.value, type=KeyRow)
        if key.withdrawn:
            return digest
        changed = msgspec.structs.replace(
            key, withdrawn=True, withdrawn_by=operator.name
        )
        check = unchanged_check(row.key, row)
        await self._change(operator, "withdraw", digest, changed, check)
        return digest

    async def list(self, team: str = "") -> list[ListedKey]:
        """Return the keys of `team`, or all keys if it is empty, ordered by digest."""
        uses = {
            row.key.removeprefix(KEY_USES): msgspec.json.decode(row.value, type=KeyUse)
            for row in await scan_in_pages(self._table, KEY_USES)
        }
        rows = await scan_in_pages(self._table, KEY_PREFIX)
        listed = [_to_listed_key(row, uses) for row in rows]
        return [key for key in listed if team in ("", key.team)]

    async def record_uses(self, uses: Mapping[str, datetime]) -> None:
        """Store the time of each key's last use where it is later than the stored one.

        `uses` maps digests of keys to times of use.
        """
        if not uses:
            return
        keys = [KEY_USES + digest for digest in uses]
        rows = await self._table.read(keys)
        writes = []
        for digest, used in uses.items():
            row = rows.get(KEY_USES + digest)
            if row is None or _decode_use(row).last_use < used:
                value = msgspec.json.encode(KeyUse(used))
                writes.append(Write(KEY_USES + digest, value))
        if writes:
            await self._table.commit([], writes)

    async def _find(self, prefix: str) -> Row:
        if len(prefix) < MIN_PREFIX_DIGITS:
            raise InvalidInputError(
                f"key {prefix}: expected at least {MIN_PREFIX_DIGITS} digits of the "
                f"digest, got {len(prefix)}"
            )
        rows = await self._table.scan(KEY_PREFIX + prefix, limit=MAX_PREFIX_MATCHES)
        if not rows:
            raise NotFoundError(f"key {prefix}: no key has a digest with this prefix")
        if len(rows) > 1:
            raise InvalidInputError(
                f"key {prefix}: several digests start with this; give more digits"
            )
        return rows[0]

    async def _change(
        self, operator: Operator, action: str, digest: str, key: KeyRow, check: Check
    ) -> None:
        """Write `key` and increment the head; retry if only the head was changed."""
        for _attempt in range(MAX_COMMIT_ATTEMPTS):
            head = (await self._table.read([KEYS_HEAD])).get(KEYS_HEAD)
            version = decode_counter(head).version + 1
            try:
                await self._commit(operator, action, digest, key, check, head, version)
                return
            except ConflictError:
                await self._require_unchanged(digest, check)
        raise ConflictError(
            f"keys: other changes came first in all {MAX_COMMIT_ATTEMPTS} attempts; "
            "try again"
        )

    async def _commit(
        self,
        operator: Operator,
        action: str,
        digest: str,
        key: KeyRow,
        check: Check,
        head: Row | None,
        version: int,
    ) -> None:
        await self._audited.commit(
            operator.name,
            action,
            [check, unchanged_check(KEYS_HEAD, head)],
            [
                Write(KEY_PREFIX + digest, msgspec.json.encode(key)),
                Write(KEYS_HEAD, msgspec.json.encode(Counter(version))),
            ],
            area=AUDIT_AREA,
            version=version,
            digest=digest,
            detail=key.team,
        )

    async def _require_unchanged(self, digest: str, check: Check) -> None:
        """Raise `ConflictError` naming who changed the key unless `check` holds."""
        row = (await self._table.read([check.key])).get(check.key)
        if unchanged_check(check.key, row) == check:
            return
        found = msgspec.json.decode(row.value, type=KeyRow) if row else None
        operator = (
            found.withdrawn_by or found.granted_by if found else "another operator"
        )
        raise ConflictError(f"key {digest[:MIN_PREFIX_DIGITS]}: changed by {operator}")


class KeyUseWriter:
    """Stores the times of the last uses of keys once per `STORE_INTERVAL`.

    `take_uses` returns the uses since its previous call.  Uses that could not be
    stored are kept for the next attempt.
    """

    def __init__(
        self,
        registry: KeyRegistry,
        clock: Clock,
        *,
        take_uses: Callable[[], Mapping[str, datetime]],
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._take_uses = take_uses
        self._pending: dict[str, datetime] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the background task that stores uses."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the background task, and store the remaining uses if possible."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.flush()

    async def flush(self) -> None:
        """Store the uses so far, or keep them if the table is unavailable."""
        self._pending.update(self._take_uses())
        try:
            await self._registry.record_uses(self._pending)
        except UnavailableError:
            return
        self._pending.clear()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(STORE_INTERVAL)
            await self.flush()


def _decode_use(row: Row) -> KeyUse:
    return msgspec.json.decode(row.value, type=KeyUse)


def _to_listed_key(row: Row, uses: Mapping[str, KeyUse]) -> ListedKey:
    digest = row.key.removeprefix(KEY_PREFIX)
    key = msgspec.json.decode(row.value, type=KeyRow)
    use = uses.get(digest)
    return ListedKey(
        digest,
        key.team,
        key.withdrawn,
        key.granted_by,
        key.granted_at,
        use.last_use if use else None,
    )
