"""Decides when this process becomes the leader, and runs its term."""

from __future__ import annotations

import asyncio
import random
import uuid
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

import msgspec
from loguru import logger

from cassiaweir.background import BackgroundTasks
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
from cassiaweir.observe import Metrics
from cassiaweir.types import Check, Clock, Row, Table, Write

MAX_VIEW_AGE = timedelta(milliseconds=1_200)
"""With an older view of the owner row, a process never treats the leader as failed."""

MAX_TAKEOVER_JITTER_S = 0.08
RELEASE_COOLDOWN = timedelta(seconds=3)
"""A process does not take over again this soon after giving up the leadership."""


FENCES_PER_TERM = 10_000
"""Fences set aside for a leadership, which raises that of a server now and then."""

RELEASE_TIMEOUT = timedelta(milliseconds=700)
"""A stopping leader waits this long for the store to take its release.

With the drain of the front this fits into the grace time of a stop.
"""


class ProbeResult(StrEnum):
    """The outcome of a probe of the leader's address.

    `REFUSED` means that the connection failed, as it does when the process has ended.
    `SILENT` is any other failure, such as a timeout.
    """

    LEADING = "leads"
    NOT_LEADING = "leads_not"
    REFUSED = "refused"
    SILENT = "silent"


OWNER_UNCHANGED_TIMEOUT = {
    ProbeResult.REFUSED: timedelta(milliseconds=450),
    ProbeResult.NOT_LEADING: timedelta(milliseconds=450),
    ProbeResult.SILENT: timedelta(milliseconds=1_100),
    ProbeResult.LEADING: timedelta(milliseconds=2_500),
}
"""How long the owner row may stay unchanged before a takeover, by probe result.

All are longer than the time between two renewals of the owner row.
"""


class LeaderProbe(Protocol):
    """Asks other processes whether they lead."""

    async def probe(self, address: str) -> ProbeResult:
        """Return the result of asking the process at `address`."""


class Term(Protocol):
    """The work of a process while it leads."""

    async def serve(self, leadership: Leadership, commits: CommitStream) -> None:
        """Lead until cancelled; returning or raising gives up the leadership."""


class Election:
    """Watches the owner row, takes over from a failed leader, and runs the term.

    `node`, `instance` and `address` identify this process in the owner row.
    """

    def __init__(
        self,
        table: Table,
        watch: TableWatch,
        clock: Clock,
        probe: LeaderProbe,
        term: Term,
        *,
        node: str,
        instance: str,
        address: str,
        rng: random.Random,
        candidacy: Candidacy,
        metrics: Metrics | None = None,
    ) -> None:
        self._metrics = metrics
        self._table = table
        self._watch = watch
        self._clock = clock
        self._probe = probe
        self._term = term
        self._identity = (node, instance, address)
        self._rng = rng
        self._candidacy = candidacy
        self._cooldown_until = 0.0
        self._stopping = False
        self._commits: CommitStream | None = None
        self._background = BackgroundTasks()
        self.leadership: Leadership | None = None

    async def start(self) -> None:
        """Begin to watch the leader, and to take over when there is none."""
        self._background.start(self._run)

    async def stop(self) -> None:
        """Give up the leadership, if held, and stop."""
        self._stopping = True
        if self._commits is not None:
            await self._release(self._commits)
        await self._background.stop()

    async def _release(self, commits: CommitStream) -> None:
        """Give up the leadership, without waiting for a store that does not answer.

        The process ends then, and a successor takes over as from a failed leader.
        """
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT.total_seconds()):
                await commits.release()
        except TimeoutError:
            logger.warning("leadership_not_released")
            if self.leadership is not None:
                self.leadership.lost = True

    @property
    def leading(self) -> bool:
        """Whether this process leads."""
        return self.leadership is not None and not self.leadership.lost

    def owner(self) -> Owner | None:
        """Return the leader that the watched owner row names, None if there is none."""
        return decode_owner(self._watch.rows.get(OWNER_KEY))

    async def _run(self) -> None:
        while not self._stopping:
            try:
                leadership = await self._try_take_over()
            except Exception as exc:
                logger.opt(exception=exc).error("takeover_failed")
                leadership = None
            if leadership is not None:
                await self._serve(leadership)
            else:
                await self._clock.sleep(self._candidacy.leader_check_interval())

    async def _try_take_over(self) -> Leadership | None:
        """Return the new leadership if this process took over, else None."""
        if not self._watch.listed or self._clock.monotonic() < self._cooldown_until:
            return None
        owner = self.owner()
        expected_row = self._watch.rows.get(OWNER_KEY)
        reason = await self._takeover_reason(owner)
        if not reason:
            return None
        jitter = timedelta(seconds=self._rng.random() * MAX_TAKEOVER_JITTER_S)
        await self._clock.sleep(self._candidacy.takeover_delay() + jitter)
        if self.owner() != owner:
            return None
        try:
            return await self._take_over(expected_row, reason)
        except ConflictError:
            logger.info("takeover_failed", cause="another process took over first")
        except UnavailableError as exc:
            logger.info("takeover_failed", cause=str(exc))
        return None

    async def _takeover_reason(self, owner: Owner | None) -> str:
        """Return why this process should take over now, or an empty string."""
        if owner is None:
            return "no leader has been recorded yet"
        if owner.released:
            return "the former leader gave up the leadership"
        node, instance, _ = self._identity
        if owner.node == node and owner.instance != instance:
            return "the leader was an earlier process on this VM"
        if self._watch.age() > MAX_VIEW_AGE:
            return ""
        result = await self._probe.probe(owner.address)
        max_unchanged = OWNER_UNCHANGED_TIMEOUT[result]
        # After an outage of the store, the leader gets half of that time to renew.
        if (
            self._watch.unchanged_for() < max_unchanged
            or self._watch.reachable_for() < max_unchanged / 2
        ):
            return ""
        unchanged_s = self._watch.unchanged_for().total_seconds()
        return (
            f"owner row unchanged for {unchanged_s:.1f} s, probe result {result.value}"
        )

    async def _take_over(self, expected_row: Row | None, reason: str) -> Leadership:
        """Take over if the stored owner row still has the version of `expected_row`."""
        rows = await self._table.read([OWNER_KEY, GUARD_KEY])
        if _version_or_zero(rows.get(OWNER_KEY)) != _version_or_zero(expected_row):
            raise ConflictError("the owner row was renewed or replaced in the meantime")
        former = decode_owner(rows.get(OWNER_KEY))
        guard = decode_guard(rows.get(GUARD_KEY))
        newest = max(former.epoch if former else 0, guard.epoch if guard else 0)
        epoch = newest + FENCES_PER_TERM
        node, instance, address = self._identity
        since = former.task_records_since if former else 0
        owner = Owner(
            epoch,
            node,
            instance,
            address,
            task_records_since=since or epoch,
            fences=FENCES_PER_TERM,
            term=(former.term_number if former else newest) + 1,
        )
        sent_at = self._clock.monotonic()
        version = await self._store_takeover(owner, rows)
        logger.info(
            "leadership_acquired",
            epoch=epoch,
            former=former.node if former else "",
            cause=reason,
        )
        return Leadership(owner, version, version, sent_at, former, acquired_at=sent_at)

    async def _store_takeover(self, owner: Owner, rows: dict[str, Row]) -> int:
        """Write both rows if neither has changed; return the guard row's version."""
        nonce = uuid.uuid4().int >> 66
        guard = Guard(owner.epoch, -nonce)
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
            return await self._find_stored_takeover(guard)

    async def _find_stored_takeover(self, guard: Guard) -> int:
        """Return the guard row's version if an unanswered takeover was stored.

        Raises `ConflictError` if it was not.
        """
        row = (await self._table.read([GUARD_KEY])).get(GUARD_KEY)
        if row is None or decode_guard(row) != guard:
            raise ConflictError("the takeover got no answer and was not stored")
        return row.version

    async def _serve(self, leadership: Leadership) -> None:
        self.leadership = leadership
        commits = CommitStream(self._table, self._clock, leadership, self._metrics)
        self._commits = commits
        term = asyncio.create_task(self._term.serve(leadership, commits))
        stream = asyncio.create_task(commits.run())
        handover = asyncio.create_task(self._hand_over(leadership, commits))
        try:
            await asyncio.wait((term, stream), return_when=asyncio.FIRST_COMPLETED)
            if term.done() and not leadership.lost:
                await self._resign(term, commits)
        finally:
            logger.info(
                "leadership_ended",
                epoch=leadership.epoch,
                held_s=round(self._clock.monotonic() - leadership.acquired_at, 3),
                unconfirmed_s=round(
                    self._clock.monotonic() - leadership.confirmed_at, 3
                ),
            )
            leadership.lost = True
            self.leadership = None
            self._commits = None
            tasks = (term, stream, handover)
            for task in tasks:
                task.cancel()
            await self._await_tasks(*tasks)

    async def _hand_over(self, leadership: Leadership, commits: CommitStream) -> None:
        """Release the leadership once a much stronger VM is able to lead.

        Not before this leader is settled, as the successor would have to wait anew for
        the servers that it cannot reach.
        """
        address = await self._candidacy.wait_for_stronger_vm()
        while not leadership.settled:
            address = await self._candidacy.wait_for_stronger_vm()
        self._start_cooldown()
        logger.info("leadership_handed_over", stronger=address)
        await commits.release()

    async def _resign(self, term: asyncio.Task[None], commits: CommitStream) -> None:
        self._start_cooldown()
        logger.warning("leadership_resigned", failed=term.exception() is not None)
        await commits.release()

    def _start_cooldown(self) -> None:
        cooldown_s = RELEASE_COOLDOWN.total_seconds()
        self._cooldown_until = self._clock.monotonic() + cooldown_s

    async def _await_tasks(self, *tasks: asyncio.Task[None]) -> None:
        """Wait for the tasks of a term to end and log their unexpected exceptions."""
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            expected = (asyncio.CancelledError, LeadershipLostError, type(None))
            if not isinstance(result, expected):
                logger.opt(exception=result).error("leader_task_failed")


def _version_or_zero(row: Row | None) -> int:
    return 0 if row is None else row.version
