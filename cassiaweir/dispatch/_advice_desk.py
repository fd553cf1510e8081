"""Gets advice for steps ahead of their start, from all machines at once.

The advice service answers one call at a time for each calling machine, so questions
are spread over the entry VMs: each is a lane that carries one question at a time.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from loguru import logger

from cassiaweir.dispatch._advice import Advice, Advisor
from cassiaweir.exceptions import UnavailableError
from cassiaweir.jobs import Step
from cassiaweir.queues import AdvicePolicy
from cassiaweir.types import Clock

TICKET_MARGIN_S = 0.12
"""A ticket is not used in the last moments of its validity."""

ANSWER_MARGIN_S = 0.6
LANE_PAUSE_S = 1.5
"""A lane whose question failed is left alone for so long."""

REFUSAL_PAUSE_S = 0.15
MOST_SERVERS = 100
"""Servers that one question may name."""

LOCAL_LANE = ""


class PeerAdvisors(Protocol):
    """The other machines that can ask the advice service."""

    def addresses(self) -> Sequence[str]:
        """Return their addresses."""

    async def advise(
        self, address: str, step: str, server_ids: Sequence[str], timeout_s: float
    ) -> Advice:
        """Return the advice that the machine at `address` gets."""


@dataclass(slots=True, eq=False)
class _Known:
    """What is known of a step; which servers are allowed never changes."""

    asked: set[str] = field(default_factory=set)
    allowed: set[str] = field(default_factory=set)
    tickets: Mapping[str, str] = field(default_factory=dict)
    expires_at: float = 0.0
    asking: bool = False
    retry_at: float = 0.0


@dataclass(frozen=True, slots=True)
class _Question:
    step: Step
    policy: AdvicePolicy
    server_ids: tuple[str, ...]

    @property
    def duration_s(self) -> float:
        """How long the advice service takes for the answer."""
        servers = len(self.server_ids)
        return self.policy.question_s + servers * self.policy.each_server_s


class AdviceDesk:
    """Keeps the tickets of steps and asks for those that are needed.

    `on_answer` is called whenever new tickets have come.
    """

    def __init__(
        self,
        clock: Clock,
        local: Advisor,
        peers: PeerAdvisors,
        on_answer: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._local = local
        self._peers = peers
        self._on_answer = on_answer
        self._known: dict[str, _Known] = {}
        self._queue: list[tuple[float, int, _Question]] = []
        self._order = itertools.count()
        self._busy: dict[str, asyncio.Task[None]] = {}
        self._paused: dict[str, float] = {}

    def tickets(self, step: Step) -> Mapping[str, str] | None:
        """Return the valid tickets of `step` by server id, None if there are none."""
        known = self._known.get(step.name)
        if known is None or self._clock.monotonic() >= known.expires_at:
            return None
        return known.tickets

    def ask(
        self, step: Step, policy: AdvicePolicy, server_ids: Sequence[str], rank: float
    ) -> None:
        """Ask about `step` unless that is under way; lower ranks are asked first.

        Servers that are known not to be allowed are left out.
        """
        known = self._known.setdefault(step.name, _Known())
        if known.asking or self._clock.monotonic() < known.retry_at:
            return
        wanted = [
            each
            for each in server_ids
            if each in known.allowed or each not in known.asked
        ]
        if not wanted:
            return
        known.asking = True
        question = _Question(step, policy, tuple(wanted[:MOST_SERVERS]))
        heapq.heappush(self._queue, (rank, next(self._order), question))
        self._pump()

    def invalidate(self, step: Step) -> None:
        """Forget the tickets of `step`, which a server did not accept."""
        known = self._known.get(step.name)
        if known is not None:
            known.expires_at = 0.0

    async def close(self) -> None:
        """End the questions under way."""
        tasks = list(self._busy.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _pump(self) -> None:
        """Give waiting questions to idle lanes."""
        while self._queue:
            lane = self._idle_lane()
            if lane is None:
                return
            _, _, question = heapq.heappop(self._queue)
            self._busy[lane] = asyncio.create_task(self._carry(lane, question))

    def _idle_lane(self) -> str | None:
        now = self._clock.monotonic()
        for lane in (LOCAL_LANE, *self._peers.addresses()):
            if lane not in self._busy and self._paused.get(lane, 0.0) <= now:
                return lane
        return None

    async def _carry(self, lane: str, question: _Question) -> None:
        known = self._known.get(question.step.name)
        try:
            if known is not None and not question.step.job.ended:
                await self._answer(lane, question, known)
        except UnavailableError as exc:
            self._note_failure(lane, question, exc)
        finally:
            if known is not None:
                known.asking = False
            del self._busy[lane]
            self._pump()
        self._on_answer()

    async def _answer(self, lane: str, question: _Question, known: _Known) -> None:
        timeout_s = question.duration_s * 1.5 + ANSWER_MARGIN_S
        ids = question.server_ids
        name = question.step.name
        if lane == LOCAL_LANE:
            advice = await self._local.advise(name, ids, timeout_s)
        else:
            advice = await self._peers.advise(lane, name, ids, timeout_s)
        known.asked.update(ids)
        known.allowed.update(advice.tickets)
        known.tickets = advice.tickets
        valid_s = advice.valid_s or question.policy.valid_s
        known.expires_at = self._clock.monotonic() + valid_s - TICKET_MARGIN_S
        logger.info(
            "advice_received",
            step=name,
            asked=len(ids),
            allowed=len(advice.tickets),
            lane=lane or "local",
        )

    def _note_failure(
        self, lane: str, question: _Question, exc: UnavailableError
    ) -> None:
        now = self._clock.monotonic()
        if lane != LOCAL_LANE:
            self._paused[lane] = now + LANE_PAUSE_S
        known = self._known.get(question.step.name)
        if known is not None:
            known.retry_at = now + REFUSAL_PAUSE_S
        logger.warning(
            "advice_failed",
            step=question.step.name,
            lane=lane or "local",
            cause=str(exc),
        )
