"""Decides when this process takes the lead, and runs its term."""

from __future__ import annotations

import asyncio
import random
import uuid
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

import msgspec
from loguru import logger

from cassiaweir.background import Background
from cassiaweir.exceptions import (
    ConflictError,
    LeadershipLostError,
    UnavailableError,
)
from cassiaweir.feeds import TableWatch
from cassiaweir.leadership._candidacy import Candidacy
from cassiaweir.leadership._commits import CommitStream
from cassiaweir.leadership._rows import (
    GUARD_KEY,
    OWNER_KEY,
    Guard,
    Owner,
    decode_guard,
    decode_owner,
)
from cassiaweir.leadership._terms import Leadership
from cassiaweir.types import Check, Clock, Row, Table, Write

OLDEST_VIEW = timedelta(milliseconds=1_200)
"""A process whose view of the owner row is older does not judge the leader."""

LONGEST_JITTER_S = 0.08
PAUSE_AFTER_RELEASE = timedelta(seconds=3)
"""A process that gave up the lead leaves it to others for so long."""


class ProbeResult(StrEnum):
    """What a call to the leader shows."""

    LEADING = "leads"
    NOT_LEADING = "leads_not"
    REFUSED = "refused"
    SILENT = "silent"


SUSPECT_AFTER = {
    ProbeResult.REFUSED: timedelta(milliseconds=450),
    ProbeResult.NOT_LEADING: timedelta(milliseconds=450),
    ProbeResult.SILENT: timedelta(milliseconds=1_100),
    ProbeResult.LEADING: timedelta(milliseconds=2_500),
}
"""How long the owner row may stay the same, by what the leader's address answers.

All are longer than the time between two renewals.
"""


class Probe(Protocol):
    """Asks another process whether it leads."""

    async def probe(self, address: str) -> ProbeResult:
        """Return what the process at `address` answers."""


class Term(Protocol):
    """What a process does while it leads."""

    async def serve(self, leadership: Leadership, commits: CommitStream) -> None:
        """Lead until cancelled, or return to give up the lead."""


class Election:
    """Follows the owner row; takes over from a leader that is gone, and leads.

    `node`, `instance` and `address` identify this process to the others.
    """

    def __init__(
        self,
        table: Table,
        watch: TableWatch,
        clock: Clock,
        probe: Probe,
        term: Term,
        *,
        node: str,
        instance: str,
        address: str,
        rng: random.Random,
        candidacy: Candidacy,
    ) -> None:
        self._table = table
        self._watch = watch
        self._clock = clock
        self._probe = probe
        self._term = term
        self._identity = (node, instance, address)
        self._rng = rng
        self._candidacy = candidacy
        self._paused_until = 0.0
        self._stopping = False
        self._commits: CommitStream | None = None
        self._background = Background()
        self.leadership: Leadership | None = None

    async def start(self) -> None:
        """Begin to follow, and to lead where nobody does."""
        self._background.start(self._run)

    async def stop(self) -> None:
        """Give up the lead, if held, and stop."""
        self._stopping = True
        if self._commits is not None:
            await self._commits.release()
        await self._background.stop()

    @property
    def leading(self) -> bool:
        """Whether this process leads."""
        return self.leadership is not None and not self.leadership.lost

    def owner(self) -> Owner | None:
        """Return who leads as far as this process knows."""
        return decode_owner(self._watch.rows.get(OWNER_KEY))

    async def _run(self) -> None:
        while not self._stopping:
            leadership = await self._try_to_lead()
            if leadership is not None:
                await self._serve(leadership)
            else:
                await self._clock.sleep(self._candidacy.look_every())

    async def _try_to_lead(self) -> Leadership | None:
        """Return the lead where the leader is gone and this process took over."""
        if not self._watch.listed or self._clock.monotonic() < self._paused_until:
            return None
        owner = self.owner()
        seen = self._watch.rows.get(OWNER_KEY)
        reason = await self._reason_to_take_over(owner)
        if not reason:
            return None
        jitter = timedelta(seconds=self._rng.random() * LONGEST_JITTER_S)
        await self._clock.sleep(self._candidacy.hesitation() + jitter)
        if self.owner() != owner:
            return None
        try:
            return await self._take_over(seen, reason)
        except ConflictError:
            logger.info("lead_not_taken", cause="another process was faster")
        except UnavailableError as exc:
            logger.info("lead_not_taken", cause=str(exc))
        return None

    async def _reason_to_take_over(self, owner: Owner | None) -> str:
        """Return why the lead should be taken now, or an empty text."""
        if owner is None:
            return "nobody has led yet"
        if owner.released:
            return "the lead was given up"
        node, instance, _ = self._identity
        if owner.node == node and owner.instance != instance:
            return "an earlier process of this VM led"
        if self._watch.age() > OLDEST_VIEW:
            return ""
        result = await self._probe.probe(owner.address)
        limit = SUSPECT_AFTER[result]
        if self._watch.silent_for() < limit or self._watch.steady_for() < limit / 2:
            return ""
        silence = self._watch.silent_for().total_seconds()
        return f"no sign of life for {silence:.1f} s, probe {result.value}"

    async def _take_over(self, judged: Row | None, reason: str) -> Leadership:
        """Take the lead if the owner row is still the one that was judged."""
        rows = await self._table.read([OWNER_KEY, GUARD_KEY])
        if _version(rows.get(OWNER_KEY)) != _version(judged):
            raise ConflictError("the lead was renewed or taken meanwhile")
        former = decode_owner(rows.get(OWNER_KEY))
        guard = decode_guard(rows.get(GUARD_KEY))
        epoch = max(former.epoch if former else 0, guard.epoch if guard else 0) + 1
        node, instance, address = self._identity
        owner = Owner(epoch, node, instance, address)
        sent_at = self._clock.monotonic()
        version = await self._store_takeover(owner, rows)
        logger.info(
            "lead_taken",
            epoch=epoch,
            former=former.node if former else "",
            cause=reason,
        )
        return Leadership(owner, version, version, sent_at, former)

    async def _store_takeover(self, owner: Owner, rows: dict[str, Row]) -> int:
        """Write both rows under the condition that neither has changed."""
        token = uuid.uuid4().int >> 66
        guard = Guard(owner.epoch, -token)
        checks = [
            Check(key, rows[key].version if key in rows else 0)
            for key in (OWNER_KEY, GUARD_KEY)
        ]
        writes = [
            Write(OWNER_KEY, msgspec.json.encode(owner)),
            Write(GUARD_KEY, msgspec.json.encode(guard)),
        ]
        try:
            return (await self._table.commit(checks, writes))[GUARD_KEY]
        except UnavailableError:
            return await self._find_takeover(guard)

    async def _find_takeover(self, guard: Guard) -> int:
        """Return the version of a takeover that got no answer but was stored."""
        row = (await self._table.read([GUARD_KEY])).get(GUARD_KEY)
        if row is None or decode_guard(row) != guard:
            raise ConflictError("the takeover was not stored")
        return row.version

    async def _serve(self, leadership: Leadership) -> None:
        self.leadership = leadership
        commits = CommitStream(self._table, self._clock, leadership)
        self._commits = commits
        term = asyncio.create_task(self._term.serve(leadership, commits))
        stream = asyncio.create_task(commits.run())
        handover = asyncio.create_task(self._hand_over(commits))
        try:
            await asyncio.wait((term, stream), return_when=asyncio.FIRST_COMPLETED)
            if term.done() and not leadership.lost:
                await self._give_up(term, commits)
        finally:
            leadership.lost = True
            self.leadership = None
            self._commits = None
            tasks = (term, stream, handover)
            for task in tasks:
                task.cancel()
            await self._collect(*tasks)

    async def _hand_over(self, commits: CommitStream) -> None:
        """Release the lead once a much stronger VM could take it."""
        address = await self._candidacy.wait_for_stronger()
        self._leave_to_others()
        logger.info("lead_handed_over", stronger=address)
        await commits.release()

    async def _give_up(self, term: asyncio.Task[None], commits: CommitStream) -> None:
        self._leave_to_others()
        logger.warning("lead_given_up", failed=term.exception() is not None)
        await commits.release()

    def _leave_to_others(self) -> None:
        pause = PAUSE_AFTER_RELEASE.total_seconds()
        self._paused_until = self._clock.monotonic() + pause

    async def _collect(self, *tasks: asyncio.Task[None]) -> None:
        """Log what ended the tasks of a term, but for the usual causes."""
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            expected = (asyncio.CancelledError, LeadershipLostError, type(None))
            if not isinstance(result, expected):
                logger.opt(exception=result).error("term_failed")


def _version(row: Row | None) -> int:
    return 0 if row is None else row.version
