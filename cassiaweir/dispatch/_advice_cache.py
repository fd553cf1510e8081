"""Gets advice for steps ahead of their start, from all machines at once.

The advice service answers one call at a time for each calling machine, so questions
are spread over the entry VMs: each is a lane that carries one question at a time.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from loguru import logger

from cassiaweir.dispatch._advice import Advice, Advisor
from cassiaweir.dispatch._advice_choice import AllowedShare
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
LANES_TO_KEEP_ONE = 3
"""Of so many lanes one is kept for urgent questions."""

LOCAL_LANE = ""


class PeerAdvisors(Protocol):
    """The other machines that can ask the advice service."""

    def addresses(self) -> Sequence[str]:
        """Return their addresses."""

    async def advise(
        self, address: str, step: str, server_ids: Sequence[str], timeout_s: float
    ) -> Advice:
        """Return the advice that the machine at `address` gets."""


@dataclass(frozen=True, slots=True)
class _Ticket:
    text: str
    expires_at: float


@dataclass(slots=True, eq=False)
class _Known:
    """What is known of a step; which servers are allowed never changes."""

    denied: set[str] = field(default_factory=set)
    allowed: set[str] = field(default_factory=set)
    tickets: dict[str, _Ticket] = field(default_factory=dict)
    asking: bool = False
    retry_at: float = 0.0


@dataclass(frozen=True, slots=True)
class _Question:
    step: Step
    policy: AdvicePolicy
    server_ids: tuple[str, ...]
    urgent: bool

    @property
    def duration_s(self) -> float:
        """How long the advice service takes for the answer."""
        servers = len(self.server_ids)
        return self.policy.question_s + servers * self.policy.each_server_s


class AdviceCache:
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
        self._shares: defaultdict[str, AllowedShare] = defaultdict(AllowedShare)
        self._queue: list[tuple[float, int, _Question]] = []
        self._order = itertools.count()
        self._busy: dict[str, asyncio.Task[None]] = {}
        self._paused: dict[str, float] = {}

    def tickets(self, step: Step, for_s: float = 0.0) -> dict[str, str]:
        """Return the tickets of `step` by server id that are valid for `for_s` more."""
        known = self._known.get(step.name)
        if known is None:
            return {}
        now = self._clock.monotonic() + for_s
        return {
            server_id: ticket.text
            for server_id, ticket in known.tickets.items()
            if now < ticket.expires_at
        }

    def denied(self, step: Step) -> frozenset[str]:
        """Return the servers that are known not to be allowed for `step`."""
        known = self._known.get(step.name)
        return frozenset() if known is None else frozenset(known.denied)

    def allowed(self, step: Step) -> frozenset[str]:
        """Return the servers that are known to be allowed for `step`, ticket or not."""
        known = self._known.get(step.name)
        return frozenset() if known is None else frozenset(known.allowed)

    def allowed_share(self, queue: str) -> float:
        """Return the share of servers that steps of `queue` are allowed."""
        return self._shares[queue].value

    def may_ask(self, step: Step) -> bool:
        """Tell whether a question about `step` would be taken now."""
        known = self._known.get(step.name)
        if known is None:
            return True
        return not known.asking and self._clock.monotonic() >= known.retry_at

    def ask(
        self,
        step: Step,
        policy: AdvicePolicy,
        server_ids: Sequence[str],
        rank: float,
        *,
        urgent: bool,
    ) -> None:
        """Ask about `step` unless that is under way; lower ranks are asked first."""
        if not server_ids or not self.may_ask(step):
            return
        self._known.setdefault(step.name, _Known()).asking = True
        question = _Question(step, policy, tuple(server_ids), urgent)
        heapq.heappush(self._queue, (rank, next(self._order), question))
        self._pump()

    def invalidate(self, step: Step, server_id: str) -> None:
        """Forget the ticket of `step` that the server did not accept."""
        known = self._known.get(step.name)
        if known is not None:
            known.tickets.pop(server_id, None)

    async def close(self) -> None:
        """End the questions under way and drop those that wait."""
        self._queue.clear()
        tasks = list(self._busy.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _pump(self) -> None:
        """Give waiting questions to idle lanes."""
        if not self._queue:
            return
        lanes = [LOCAL_LANE, *self._peers.addresses()]
        idle = self._idle(lanes)
        keeps_one = len(lanes) >= LANES_TO_KEEP_ONE
        kept: list[tuple[float, int, _Question]] = []
        while self._queue and idle:
            entry = heapq.heappop(self._queue)
            question = entry[2]
            if len(idle) == 1 and keeps_one and not question.urgent:
                kept.append(entry)
                continue
            lane = idle.pop(0)
            self._busy[lane] = asyncio.create_task(self._carry(lane, question))
        for entry in kept:
            heapq.heappush(self._queue, entry)

    def _idle(self, lanes: Sequence[str]) -> list[str]:
        now = self._clock.monotonic()
        return [
            lane
            for lane in lanes
            if lane not in self._busy and self._paused.get(lane, 0.0) <= now
        ]

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
        known.denied.update(set(ids) - advice.tickets.keys())
        known.allowed.update(advice.tickets)
        valid_s = advice.valid_s or question.policy.valid_s
        expires_at = self._clock.monotonic() + valid_s - TICKET_MARGIN_S
        for server_id, text in advice.tickets.items():
            known.tickets[server_id] = _Ticket(text, expires_at)
        queue = question.step.job.spec.queue.name
        self._shares[queue].note(len(ids), len(advice.tickets))
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
