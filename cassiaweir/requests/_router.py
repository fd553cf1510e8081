"""Routes requests: one slot, one backend server, one retry loop."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Protocol

from cassiaweir.exceptions import RefusedError, UnavailableError
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.requests._backends import BACKEND_LEAVING, BACKEND_REFUSED
from cassiaweir.requests._claims import Claim, Claims
from cassiaweir.requests._models import (
    ServiceAnswer,
    ServiceRequest,
    Slot,
    SlotOutcome,
    SlotSource,
)
from cassiaweir.requests._retry_budget import RetryBudget
from cassiaweir.types import Clock
from cassiaweir.verdict import Verdict

OUTCOME_BY_REASON = {
    BACKEND_REFUSED: SlotOutcome.REFUSED,
    BACKEND_LEAVING: SlotOutcome.LEAVING,
}
MOST_ATTEMPTS = 4
RETRY_BACKEND = timedelta(seconds=1)


class BackendClient(Protocol):
    """Calls backend servers; see `HttpBackendClient`."""

    async def call(self, address: str, req: ServiceRequest) -> ServiceAnswer:
        """Return the whole answer, or raise with a verdict."""


class Router:
    """Runs each request on one backend server, elsewhere only where that is safe."""

    def __init__(
        self,
        slots: SlotSource,
        backends: BackendClient,
        claims: Claims,
        *,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._slots = slots
        self._backends = backends
        self._claims = claims
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._budget = RetryBudget()
        self._running: set[asyncio.Task[ServiceAnswer]] = set()

    async def route(self, req: ServiceRequest) -> ServiceAnswer:
        """Return the answer to `req`, or raise `RefusedError` with its verdict.

        A request that is not idempotent goes on, and its outcome is stored, when the
        caller gives up.
        """
        if req.idempotent:
            return await self._run(req)
        task = asyncio.create_task(self._run(req))
        self._running.add(task)
        task.add_done_callback(self._forget)
        return await asyncio.shield(task)

    async def start(self) -> None:
        """Do nothing; the router works as it is asked."""

    async def stop(self) -> None:
        """Wait for the requests that go on without their callers."""
        try:
            while self._running:
                await asyncio.wait(self._running)
        except asyncio.CancelledError:
            for task in self._running:
                task.cancel()
            raise

    def _forget(self, task: asyncio.Task[ServiceAnswer]) -> None:
        self._running.discard(task)
        if not task.cancelled():
            # The exception is the caller's; a caller that left does not read it.
            task.exception()

    async def _run(self, req: ServiceRequest) -> ServiceAnswer:
        began = self._clock.monotonic()
        self._budget.earn()
        attempts = _Attempts(req, self._slots, self._backends, self._claims)
        try:
            answer = await self._try_until_final(attempts)
        except RefusedError as exc:
            self._events.record(
                "request_refused", req.request_id, reason=exc.reason, team=req.team
            )
            self._metrics.count("request_refusals", reason=exc.reason)
            raise
        seconds = self._clock.monotonic() - began
        self._metrics.observe("request", seconds, urgency=req.urgency)
        return answer

    async def _try_until_final(self, attempts: _Attempts) -> ServiceAnswer:
        """Try elsewhere while that is safe, in time and within the budget."""
        for number in range(1, MOST_ATTEMPTS + 1):
            try:
                return await attempts.run_once()
            except RefusedError as exc:
                if not self._again(attempts, exc, number):
                    await attempts.give_up(exc.verdict)
                    raise
        raise AssertionError("the last attempt is final")

    def _again(self, attempts: _Attempts, exc: RefusedError, number: int) -> bool:
        req = attempts.req
        safe = exc.verdict is Verdict.NOT_RUN or req.idempotent
        if not attempts.reached_backend or not safe or number == MOST_ATTEMPTS:
            return False
        if self._clock.monotonic() >= req.deadline or not self._budget.spend():
            return False
        self._metrics.count("request_retries", reason=exc.reason)
        return True


class _Attempts:
    """The attempts of one request; claimed once, before its first byte leaves."""

    def __init__(
        self,
        req: ServiceRequest,
        slots: SlotSource,
        backends: BackendClient,
        claims: Claims,
    ) -> None:
        self.req = req
        self.reached_backend = False
        self._slots = slots
        self._backends = backends
        self._claims = claims
        self._claim: Claim | None = None
        self._avoid: set[str] = set()

    async def run_once(self) -> ServiceAnswer:
        """Make one attempt; raises `RefusedError`."""
        self.reached_backend = False
        slot = await self._slots.acquire(self.req, frozenset(self._avoid))
        outcome = SlotOutcome.FREE
        try:
            if not self.req.idempotent and self._claim is None:
                claimed = await self._claims.claim(self.req)
                if isinstance(claimed, ServiceAnswer):
                    return claimed
                self._claim = claimed
            # Until an answer says otherwise, the request may occupy the slot.
            outcome = SlotOutcome.SUSPECT
            self.reached_backend = True
            answer, outcome = await self._call(slot)
        finally:
            self._slots.release(slot, outcome)
        if isinstance(answer, RefusedError):
            self._avoid.add(slot.backend)
            raise answer
        if self._claim is not None:
            await self._claims.finish(self._claim, answer)
        return answer

    async def give_up(self, verdict: Verdict) -> None:
        """Release the claim where the request certainly did not run."""
        if self._claim is not None and verdict is Verdict.NOT_RUN:
            await self._claims.release(self._claim)

    async def _call(
        self, slot: Slot
    ) -> tuple[ServiceAnswer | RefusedError, SlotOutcome]:
        """Call the backend server and say what became of the slot."""
        try:
            return await self._backends.call(slot.address, self.req), SlotOutcome.FREE
        except RefusedError as exc:
            return exc, OUTCOME_BY_REASON.get(exc.reason, SlotOutcome.FREE)
        except UnavailableError as exc:
            refusal = RefusedError(
                "backend_failed",
                str(exc),
                verdict=exc.verdict,
                retry_after=RETRY_BACKEND,
            )
            refusal.__cause__ = exc
            # A server that no connection reaches holds nothing for this request.
            unreached = exc.verdict is Verdict.NOT_RUN
            return refusal, SlotOutcome.REFUSED if unreached else SlotOutcome.SUSPECT
