"""Claims of non-idempotent requests: each runs at most once."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

import msgspec
import xxhash

from cassiaweir.exceptions import (
    CassiaweirError,
    ConflictError,
    NotFoundError,
    RefusedError,
    UnavailableError,
)
from cassiaweir.observe import EventLog
from cassiaweir.requests._models import ServiceAnswer, ServiceRequest
from cassiaweir.types import Check, Clock, ObjectStore, Row, Table, Write
from cassiaweir.verdict import Verdict

LARGEST_INLINE_BODY_BYTES = 65_536
RETRY_TABLE = timedelta(seconds=1)
RETRY_IN_DOUBT = timedelta(seconds=2)


class Committer(Protocol):
    """Commits to the table, maybe together with the changes of others."""

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> dict[str, int]:
        """Do as `Table.commit` does."""


class ClaimState(StrEnum):
    """How far a claimed request came."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    RELEASED = "released"


class ClaimRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """The row `claim/<team>/<idempotency key>`.

    `digest` covers service and body.  `deadline_ms` is the time that the request had
    left when it was claimed.  `body` is absent where `stored_object` names it.
    `ended_at` is in seconds since 1970 by the clock of the gateway that finished or
    released the request; it only tells when the row may be removed.
    """

    state: ClaimState
    process: str
    request_id: str
    digest: str
    deadline_ms: int
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    stored_object: str = ""
    ended_at: float = 0


class Claim(msgspec.Struct, frozen=True):
    """A claim in the hands of this process, with the version of its row."""

    key: str
    version: int
    row: ClaimRow


def digest_request(req: ServiceRequest) -> str:
    """Return the digest that tells a repeat from another request."""
    state = xxhash.xxh3_128(req.service.encode())
    state.update(b"\0")
    state.update(req.body)
    return state.hexdigest()


class Claims:
    """Claims requests before they are sent and keeps their outcomes.

    A claim whose process died stays in doubt: nobody can tell how far it came, so no
    repeat runs.
    """

    def __init__(
        self,
        table: Table,
        committer: Committer,
        objects: ObjectStore,
        *,
        process: str,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._table = table
        self._committer = committer
        self._objects = objects
        self._process = process
        self._clock = clock
        self._events = events

    async def claim(self, req: ServiceRequest) -> Claim | ServiceAnswer:
        """Claim `req`, or return the outcome that its key already has.

        Raises `RefusedError`: `table_unavailable` (NOT_RUN), `in_doubt`
        (MAY_HAVE_RUN), or `key_reused` where the key came with another body before.
        """
        key = f"claim/{req.team}/{req.idempotency_key}"
        row = ClaimRow(
            state=ClaimState.CLAIMED,
            process=self._process,
            request_id=req.request_id,
            digest=digest_request(req),
            deadline_ms=max(0, int((req.deadline - self._clock.monotonic()) * 1000)),
        )
        found = await self._read(key)
        if found is not None:
            answer = await self._judge(found, row.digest)
            if answer is not None:
                return answer
        return await self._take(key, found.version if found else 0, row)

    async def finish(self, claim: Claim, answer: ServiceAnswer) -> bool:
        """Store the outcome; return False where the claim stays in doubt."""
        stored_object = ""
        body = answer.body
        try:
            if len(body) > LARGEST_INLINE_BODY_BYTES:
                stored_object = f"{claim.key}/{claim.row.request_id}"
                await self._objects.put(stored_object, body)
                body = b""
            row = msgspec.structs.replace(
                claim.row,
                state=ClaimState.FINISHED,
                status=answer.status,
                headers=dict(answer.headers),
                body=body,
                stored_object=stored_object,
                ended_at=self._clock.now().timestamp(),
            )
            await self._write(claim, row)
        except CassiaweirError as exc:
            self._events.record("claim_in_doubt", claim.key, reason=str(exc))
            return False
        return True

    async def release(self, claim: Claim) -> bool:
        """Note that the request certainly did not run; return False if unwritten."""
        row = msgspec.structs.replace(
            claim.row,
            state=ClaimState.RELEASED,
            ended_at=self._clock.now().timestamp(),
        )
        try:
            await self._write(claim, row)
        except CassiaweirError as exc:
            self._events.record("claim_in_doubt", claim.key, reason=str(exc))
            return False
        return True

    async def _write(self, claim: Claim, row: ClaimRow) -> None:
        value = msgspec.json.encode(row)
        checks = [Check(claim.key, claim.version)]
        await self._committer.commit(checks, [Write(claim.key, value)])

    async def _read(self, key: str) -> Row | None:
        try:
            return (await self._table.read([key])).get(key)
        except UnavailableError as exc:
            raise _table_unavailable() from exc

    async def _judge(self, found: Row, digest: str) -> ServiceAnswer | None:
        """Return the stored outcome, or None where the key may be claimed again."""
        row = msgspec.json.decode(found.value, type=ClaimRow)
        if row.state is ClaimState.RELEASED:
            return None
        if row.digest != digest:
            raise RefusedError(
                "key_reused", "the idempotency key came with another request before"
            )
        if row.state is ClaimState.CLAIMED:
            raise _in_doubt()
        body = row.body
        if row.stored_object:
            body = await self._load(row.stored_object)
        return ServiceAnswer(row.status, body, row.headers, repeated=True)

    async def _load(self, name: str) -> bytes:
        try:
            return await self._objects.get(name)
        except (UnavailableError, NotFoundError) as exc:
            raise RefusedError(
                "outcome_unavailable",
                "the request ran, and its outcome cannot be read now",
                verdict=Verdict.RAN,
                retry_after=RETRY_TABLE,
            ) from exc

    async def _take(
        self, key: str, version: int, row: ClaimRow
    ) -> Claim | ServiceAnswer:
        write = Write(key, msgspec.json.encode(row))
        try:
            versions = await self._committer.commit([Check(key, version)], [write])
            return Claim(key, versions[key], row)
        except ConflictError:
            return await self._settle(key, row)
        except UnavailableError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                raise _table_unavailable() from exc
            return await self._settle(key, row)

    async def _settle(self, key: str, row: ClaimRow) -> Claim | ServiceAnswer:
        """Read back a commit that lost or got no answer."""
        found = await self._read(key)
        if found is None:
            raise _table_unavailable()
        theirs = msgspec.json.decode(found.value, type=ClaimRow)
        if (theirs.process, theirs.request_id) == (row.process, row.request_id):
            return Claim(key, found.version, row)
        answer = await self._judge(found, row.digest)
        if answer is None:
            raise _table_unavailable()
        return answer


def _table_unavailable() -> RefusedError:
    return RefusedError(
        "table_unavailable",
        "the request could not be claimed and was not sent",
        retry_after=RETRY_TABLE,
    )


def _in_doubt() -> RefusedError:
    return RefusedError(
        "in_doubt",
        "an earlier request with this key may have run",
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after=RETRY_IN_DOUBT,
    )
