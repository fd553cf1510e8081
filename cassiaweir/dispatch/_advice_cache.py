"""Asks the advice service about steps before they start and caches its answers.

The advice service answers one call at a time for each calling VM, so the leader spreads
its questions over all entry VMs.  A lane is an entry VM that sends these questions, one
at a time unless all are urgent; it is named by its address.
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
from cassiaweir.dispatch._advice_choice import MAX_QUESTIONS_AT_ONCE, AllowedShare
from cassiaweir.dispatch._term_tasks import cancel_all
from cassiaweir.exceptions import UnavailableError
from cassiaweir.jobs import Job, Step
from cassiaweir.queues import AdvicePolicy
from cassiaweir.types import Clock

TICKET_MARGIN_S = 0.12
"""A ticket is not used within this time before it expires."""

ANSWER_MARGIN_S = 0.6
"""Added to the timeout of a question, on top of 1.5 times its expected duration."""

LANE_RETRY_DELAY_S = 1.5
"""After a failed question, another VM's lane gets no question within this time."""

STEP_RETRY_DELAY_S = 0.15
"""A step whose question failed is not asked about again within this time."""

MIN_LANES_FOR_RESERVE = 3
RESERVE_SHARE = 0.125
"""With at least so many lanes, this share of them, and at least one, is kept idle.

Only urgent questions are sent through the last idle lanes.
"""

MAX_URGENT_PER_LANE = 4
"""Urgent questions take a few milliseconds, much less than a call to another VM.

Without an idle lane they are sent one after the other through those that have nothing
else to ask, without waiting for answers.
"""

LOCAL_LANE = ""
"""Names this VM among the lanes."""


class PeerAdvisors(Protocol):
    """The other entry VMs, which can ask the advice service for this one."""

    def addresses(self) -> Sequence[str]:
        """Return the addresses of the other entry VMs."""

    async def advise(
        self, address: str, step: str, server_ids: Sequence[str], timeout_s: float
    ) -> Advice:
        """Return the advice that the VM at `address` gets."""


@dataclass(frozen=True, slots=True)
class _Ticket:
    """A ticket, and when it expires on the leader's monotonic clock."""

    text: str
    expires_at: float


@dataclass(slots=True, eq=False)
class _StepAdvice:
    """The cached answers for one step.

    Whether a server is allowed never changes; only its ticket expires.
    """

    denied: set[str] = field(default_factory=set)
    allowed: set[str] = field(default_factory=set)
    tickets: dict[str, _Ticket] = field(default_factory=dict)
    pending: list[tuple[str, ...]] = field(default_factory=list)
    retry_at: float = 0.0


@dataclass(frozen=True, slots=True)
class _Question:
    """Asks which of `server_ids` may run `step`."""

    step: Step
    policy: AdvicePolicy
    server_ids: tuple[str, ...]
    urgent: bool

    @property
    def duration_s(self) -> float:
        """The expected seconds until the advice service answers."""
        servers = len(self.server_ids)
        return self.policy.question_s + servers * self.policy.each_server_s


_QueueEntry = tuple[float, int, _Question]
"""The rank of a question, its number in the order of questions, and the question."""


def _reserve(lanes: Sequence[str]) -> int:
    """Return how many idle ones of `lanes` are kept for urgent questions."""
    if len(lanes) < MIN_LANES_FOR_RESERVE:
        return 0
    return max(int(len(lanes) * RESERVE_SHARE), 1)


class AdviceCache:
    """Caches the tickets of steps and sends the questions that are queued.

    `on_answer` is called with the step whenever a question about it has been answered
    or has failed.
    """

    def __init__(
        self,
        clock: Clock,
        local: Advisor,
        peers: PeerAdvisors,
        on_answer: Callable[[Step], None],
    ) -> None:
        self._clock = clock
        self._local = local
        self._peers = peers
        self._on_answer = on_answer
        self._by_step: dict[str, _StepAdvice] = {}
        self._shares: defaultdict[str, AllowedShare] = defaultdict(AllowedShare)
        self._urgent_queue: list[_QueueEntry] = []
        self._queue: list[_QueueEntry] = []
        self._order = itertools.count()
        self._under_way: defaultdict[str, list[_Question]] = defaultdict(list)
        self._tasks: set[asyncio.Task[None]] = set()
        self._paused_until: dict[str, float] = {}

    def tickets(self, step: Step, for_s: float = 0.0) -> dict[str, str]:
        """Return the tickets of `step` that are valid for `for_s` more seconds."""
        advice = self._by_step.get(step.name)
        if advice is None:
            return {}
        valid_at = self._clock.monotonic() + for_s
        return {
            server_id: ticket.text
            for server_id, ticket in advice.tickets.items()
            if valid_at < ticket.expires_at
        }

    def denied(self, step: Step) -> frozenset[str]:
        """Return the servers that the advice service has denied to `step`."""
        advice = self._by_step.get(step.name)
        return frozenset() if advice is None else frozenset(advice.denied)

    def allowed(self, step: Step) -> frozenset[str]:
        """Return the servers allowed to `step`, also those whose ticket has expired."""
        advice = self._by_step.get(step.name)
        return frozenset() if advice is None else frozenset(advice.allowed)

    def allowed_share(self, queue: str) -> float:
        """Return the estimated share of servers that steps of `queue` may run on."""
        return self._shares[queue].value

    def pending(self, step: Step) -> frozenset[str]:
        """Return the servers that unanswered questions about `step` name."""
        advice = self._by_step.get(step.name)
        if advice is None:
            return frozenset()
        return frozenset(itertools.chain.from_iterable(advice.pending))

    def idle_lanes(self) -> int:
        """Return how many VMs could ask a question at once that is not urgent."""
        lanes = [LOCAL_LANE, *self._peers.addresses()]
        queued = len(self._urgent_queue) + len(self._queue)
        return max(len(self._idle(lanes)) - queued - _reserve(lanes), 0)

    def may_ask(self, step: Step, *, several: bool = False) -> bool:
        """Return whether `ask` would accept a question about `step` now.

        With `several`, also while others about it are unanswered, if a VM is idle.
        """
        advice = self._by_step.get(step.name)
        if advice is None:
            return True
        if self._clock.monotonic() < advice.retry_at:
            return False
        if not advice.pending:
            return True
        few = len(advice.pending) < MAX_QUESTIONS_AT_ONCE
        return several and few and self.idle_lanes() > 0

    def ask(
        self,
        step: Step,
        policy: AdvicePolicy,
        server_ids: Sequence[str],
        rank: float,
        *,
        urgent: bool,
        several: bool = False,
    ) -> None:
        """Queue a question about `step`.

        Urgent ones are sent first, and of these or others those with a lower `rank`.

        Does nothing shortly after a question failed, or while another one about the
        step is unanswered, unless `several` may be and a VM is idle.
        """
        if not server_ids or not self.may_ask(step, several=several):
            return
        question = _Question(step, policy, tuple(server_ids), urgent)
        advice = self._by_step.setdefault(step.name, _StepAdvice())
        advice.pending.append(question.server_ids)
        queue = self._urgent_queue if urgent else self._queue
        heapq.heappush(queue, (rank, next(self._order), question))
        self._send_queued()

    def invalidate(self, step: Step, server_id: str) -> None:
        """Drop the ticket of `step` that the server did not accept."""
        advice = self._by_step.get(step.name)
        if advice is not None:
            advice.tickets.pop(server_id, None)

    def forget_job(self, job: Job) -> None:
        """Drop the answers about the steps of a job that has ended."""
        for step in job.steps.values():
            self.forget_step(step)

    def forget_step(self, step: Step) -> None:
        """Drop the answers about a step that has ended."""
        self._by_step.pop(step.name, None)

    async def close(self) -> None:
        """Cancel the questions being answered and drop the queued ones."""
        self._urgent_queue.clear()
        self._queue.clear()
        await cancel_all(self._tasks)

    def _send_queued(self) -> None:
        """Give queued questions to idle lanes."""
        if not self._urgent_queue and not self._queue:
            return
        lanes = [LOCAL_LANE, *self._peers.addresses()]
        idle = self._idle(lanes)
        while self._urgent_queue:
            lane = idle.pop(0) if idle else self._shared_lane(lanes)
            if lane is None:
                break
            self._send(lane, heapq.heappop(self._urgent_queue)[-1])
        while self._queue and len(idle) > _reserve(lanes):
            self._send(idle.pop(0), heapq.heappop(self._queue)[-1])

    def _send(self, lane: str, question: _Question) -> None:
        """Send a question through `lane` in the background."""
        self._under_way[lane].append(question)
        task = asyncio.create_task(self._run_question(lane, question))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _idle(self, lanes: Sequence[str]) -> list[str]:
        """Return the lanes without a question under way that have not just failed."""
        now = self._clock.monotonic()
        return [
            lane
            for lane in lanes
            if not self._under_way.get(lane)
            and self._paused_until.get(lane, 0.0) <= now
        ]

    def _shared_lane(self, lanes: Sequence[str]) -> str | None:
        """Return the lane with the fewest questions, all urgent; None if all are full.

        Lanes that have just failed are left out.
        """
        now = self._clock.monotonic()
        found = [
            lane
            for lane in lanes
            if len(self._under_way[lane]) < MAX_URGENT_PER_LANE
            and all(each.urgent for each in self._under_way[lane])
            and self._paused_until.get(lane, 0.0) <= now
        ]
        return min(found, key=lambda lane: len(self._under_way[lane]), default=None)

    async def _run_question(self, lane: str, question: _Question) -> None:
        """Send a question through `lane`, then the next queued ones."""
        cached = self._by_step.get(question.step.name)
        try:
            if cached is not None and not question.step.job.ended:
                await self._fetch(lane, question, cached)
        except UnavailableError as exc:
            self._note_failure(lane, question, exc)
        finally:
            if cached is not None:
                cached.pending.remove(question.server_ids)
            self._under_way[lane].remove(question)
            self._send_queued()
        self._on_answer(question.step)

    async def _fetch(self, lane: str, question: _Question, cached: _StepAdvice) -> None:
        """Get the answer to a question through `lane` and cache it."""
        timeout_s = question.duration_s * 1.5 + ANSWER_MARGIN_S
        ids = question.server_ids
        name = question.step.name
        if lane == LOCAL_LANE:
            advice = await self._local.advise(name, ids, timeout_s)
        else:
            advice = await self._peers.advise(lane, name, ids, timeout_s)
        cached.denied.update(set(ids) - advice.tickets.keys())
        cached.allowed.update(advice.tickets)
        valid_s = advice.valid_s or question.policy.valid_s
        expires_at = self._clock.monotonic() + valid_s - TICKET_MARGIN_S
        for server_id, text in advice.tickets.items():
            cached.tickets[server_id] = _Ticket(text, expires_at)
        queue = question.step.job.spec.queue.name
        self._shares[queue].record(len(ids), len(advice.tickets))
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
            self._paused_until[lane] = now + LANE_RETRY_DELAY_S
        advice = self._by_step.get(question.step.name)
        if advice is not None:
            advice.retry_at = now + STEP_RETRY_DELAY_S
        logger.warning(
            "advice_failed",
            step=question.step.name,
            lane=lane or "local",
            cause=str(exc),
        )
