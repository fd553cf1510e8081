"""Claims of non-idempotent requests, so that each runs at most once."""

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

MAX_INLINE_BODY_BYTES = 65_536
TABLE_RETRY_AFTER = timedelta(seconds=1)
IN_DOUBT_RETRY_AFTER = timedelta(seconds=2)


class Committer(Protocol):
    """Commits changes to the table, possibly batched with those of other callers."""

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> dict[str, int]:
        """Commit as `Table.commit` does; returns the new version of each key."""


class ClaimState(StrEnum):
    """Progress of a claimed request."""

    CLAIMED = "claimed"
    """The request may have run, or may still be running."""

    FINISHED = "finished"
    """The request ran, and its outcome is stored."""

    RELEASED = "released"
    """The request did not run; its key may be claimed again."""


class ClaimRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """The row `claim/<team>/<idempotency key>`.

    `process` is the gateway that claimed the request.  `digest` covers service and
    body.  `deadline_ms` is the time that was left to the request's deadline when it was
    claimed.  `status`, `headers` and `body` are those of the stored response; a large
    body is in the object store under the name `stored_object` instead.  `ended_at` is
    in seconds since 1970 by the clock of the gateway that finished or released the
    request; it is used only to decide when the row may be removed.
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
    """A claim held by this process, with the version of its row."""

    key: str
    version: int
    row: ClaimRow


def digest_request(req: ServiceRequest) -> str:
    """Return the digest that distinguishes a repeated request from another one."""
    state = xxhash.xxh3_128(req.service.encode())
    state.update(b"\0")
    state.update(req.body)
    return state.hexdigest()


class Claims:
    """Claims requests before they are sent and stores their outcomes.

    A claim whose process died stays in doubt: its request may have run, so a repeated
    request with the same key is refused.
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
        """Claim `req`, or return the stored outcome of its idempotency key.

        Raises `RefusedError` with one of these reasons: `table_unavailable` (NOT_RUN),
        `in_doubt` (MAY_HAVE_RUN), `key_reused` if the key was used before with another
        service or body, or `outcome_unavailable` (RAN) if the stored body cannot be
        read.
        """
        key = f"claim/{req.team}/{req.idempotency_key}"
        row = ClaimRow(
            state=ClaimState.CLAIMED,
            process=self._process,
            request_id=req.request_id,
            digest=digest_request(req),
            deadline_ms=max(0, int((req.deadline - self._clock.monotonic()) * 1000)),
        )
        found = await self._read_row(key)
        if found is not None:
            answer = await self._stored_outcome(found, row.digest)
            if answer is not None:
                return answer
        return await self._write_claim(key, found.version if found else 0, row)

    async def finish(self, claim: Claim, answer: ServiceAnswer) -> bool:
        """Store the outcome; return False if that fails and the claim is in doubt."""
        stored_object = ""
        body = answer.body
        try:
            if len(body) > MAX_INLINE_BODY_BYTES:
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
            await self._write_row(claim, row)
        except CassiaweirError as exc:
            self._events.record("claim_in_doubt", claim.key, reason=str(exc))
            return False
        return True

    async def release(self, claim: Claim) -> bool:
        """Record that the request did not run; return False if the write fails."""
        row = msgspec.structs.replace(
            claim.row,
            state=ClaimState.RELEASED,
            ended_at=self._clock.now().timestamp(),
        )
        try:
            await self._write_row(claim, row)
        except CassiaweirError as exc:
            self._events.record("claim_in_doubt", claim.key, reason=str(exc))
            return False
        return True

    async def _write_row(self, claim: Claim, row: ClaimRow) -> None:
        value = msgspec.json.encode(row)
        checks = [Check(claim.key, claim.version)]
        await self._committer.commit(checks, [Write(claim.key, value)])

    async def _read_row(self, key: str) -> Row | None:
        try:
            return (await self._table.read([key])).get(key)
        except UnavailableError as exc:
            raise _table_unavailable_error() from exc

    async def _stored_outcome(self, found: Row, digest: str) -> ServiceAnswer | None:
        """Return the stored outcome, or None if the key may be claimed again."""
        row = msgspec.json.decode(found.value, type=ClaimRow)
        if row.state is ClaimState.RELEASED:
            return None
        if row.digest != digest:
            raise RefusedError(
                "key_reused",
                "the idempotency key was used before with another service or body",
            )
        if row.state is ClaimState.CLAIMED:
            raise _in_doubt_error()
        body = row.body
        if row.stored_object:
            body = await self._load_body(row.stored_object)
        return ServiceAnswer(row.status, body, row.headers, repeated=True)

    async def _load_body(self, name: str) -> bytes:
        try:
            return await self._objects.get(name)
        except (UnavailableError, NotFoundError) as exc:
            raise RefusedError(
                "outcome_unavailable",
                "the request ran, but its stored outcome cannot be read now",
                verdict=Verdict.RAN,
                retry_after=TABLE_RETRY_AFTER,
            ) from exc

    async def _write_claim(
        self, key: str, version: int, row: ClaimRow
    ) -> Claim | ServiceAnswer:
        write = Write(key, msgspec.json.encode(row))
        try:
            versions = await self._committer.commit([Check(key, version)], [write])
            return Claim(key, versions[key], row)
        except ConflictError:
            return await self._read_back(key, row)
        except UnavailableError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                raise _table_unavailable_error() from exc
            return await self._read_back(key, row)

    async def _read_back(self, key: str, row: ClaimRow) -> Claim | ServiceAnswer:
        """Read the row after a commit that conflicted or got no response.

        Returns the claim if this request wrote the row, else the stored outcome.
        """
        found = await self._read_row(key)
        if found is None:
            raise _table_unavailable_error()
        stored = msgspec.json.decode(found.value, type=ClaimRow)
        if (stored.process, stored.request_id) == (row.process, row.request_id):
            return Claim(key, found.version, row)
        answer = await self._stored_outcome(found, row.digest)
        if answer is None:
            raise _table_unavailable_error()
        return answer


def _table_unavailable_error() -> RefusedError:
    return RefusedError(
        "table_unavailable",
        "the request was not sent because it could not be claimed in the table",
        retry_after=TABLE_RETRY_AFTER,
    )


def _in_doubt_error() -> RefusedError:
    return RefusedError(
        "in_doubt",
        "an earlier request with this idempotency key may have run",
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after=IN_DOUBT_RETRY_AFTER,
    )
