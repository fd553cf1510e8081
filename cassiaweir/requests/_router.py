"""Routes callers' requests to backend servers and retries them."""

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
"""Outcome of the slot by the reason of the backend client's `RefusedError`."""

MAX_ATTEMPTS = 4
BACKEND_FAILED_RETRY_AFTER = timedelta(seconds=1)


class BackendClient(Protocol):
    """Calls backend servers; see `HttpBackendClient`."""

    async def call(self, address: str, req: ServiceRequest) -> ServiceAnswer:
        """Return the complete response.

        Raises `RefusedError` or `UnavailableError`, both with a verdict.
        """


class Router:
    """Runs each request on a backend server and retries it on another one if safe.

    A retry is safe if the request did not run or is idempotent.
    """

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
        self._retry_budget = RetryBudget()
        self._tasks: set[asyncio.Task[ServiceAnswer]] = set()

    async def route(self, req: ServiceRequest) -> ServiceAnswer:
        """Return the response to `req`, or raise `RefusedError` with its verdict.

        A request that is not idempotent continues after its caller has disconnected,
        so that its outcome is stored.
        """
        if req.idempotent:
            return await self._run(req)
        task = asyncio.create_task(self._run(req))
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return await asyncio.shield(task)

    async def start(self) -> None:
        """Do nothing; the router has no background task."""

    async def stop(self) -> None:
        """Wait for the non-idempotent requests that are still running."""
        try:
            while self._tasks:
                await asyncio.wait(self._tasks)
        except asyncio.CancelledError:
            for task in self._tasks:
                task.cancel()
            raise

    def _on_task_done(self, task: asyncio.Task[ServiceAnswer]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Mark the exception as retrieved: if the caller disconnected, nothing else
            # does, and asyncio would log it.
            task.exception()

    async def _run(self, req: ServiceRequest) -> ServiceAnswer:
        started_at = self._clock.monotonic()
        self._retry_budget.deposit()
        attempts = _Attempts(req, self._slots, self._backends, self._claims)
        try:
            answer = await self._run_attempts(attempts)
        except RefusedError as exc:
            self._events.record(
                "request_refused", req.request_id, reason=exc.reason, team=req.team
            )
            self._metrics.count("request_refusals", reason=exc.reason)
            raise
        seconds = self._clock.monotonic() - started_at
        self._metrics.observe("request", seconds, urgency=req.urgency)
        return answer

    async def _run_attempts(self, attempts: _Attempts) -> ServiceAnswer:
        """Make attempts until one succeeds or no retry is allowed."""
        for number in range(1, MAX_ATTEMPTS + 1):
            try:
                return await attempts.run_once()
            except RefusedError as exc:
                if not self._take_retry(attempts, exc, number):
                    await attempts.release_claim(exc.verdict)
                    raise
        raise AssertionError("unreachable: the last attempt returns or raises")

    def _take_retry(self, attempts: _Attempts, exc: RefusedError, number: int) -> bool:
        """Return whether to retry `attempts` after `exc`.

        A retry must be safe and before the deadline; it is withdrawn from the budget.
        """
        req = attempts.req
        safe = exc.verdict is Verdict.NOT_RUN or req.idempotent
        if not attempts.reached_backend or not safe or number == MAX_ATTEMPTS:
            return False
        if (
            self._clock.monotonic() >= req.deadline
            or not self._retry_budget.try_withdraw()
        ):
            return False
        self._metrics.count("request_retries", reason=exc.reason)
        return True


class _Attempts:
    """The attempts to run one request.

    A non-idempotent request is claimed once, before it is first sent.
    """

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
        self._failed_backends: set[str] = set()

    async def run_once(self) -> ServiceAnswer:
        """Acquire a slot and call its backend server; raises `RefusedError`."""
        self.reached_backend = False
        slot = await self._slots.acquire(self.req, frozenset(self._failed_backends))
        outcome = SlotOutcome.FREE
        try:
            if not self.req.idempotent and self._claim is None:
                claim_or_answer = await self._claims.claim(self.req)
                if isinstance(claim_or_answer, ServiceAnswer):
                    return claim_or_answer
                self._claim = claim_or_answer
            # Until a response shows otherwise, the request may still occupy the slot.
            outcome = SlotOutcome.SUSPECT
            self.reached_backend = True
            answer, outcome = await self._call(slot)
        finally:
            self._slots.release(slot, outcome)
        if isinstance(answer, RefusedError):
            self._failed_backends.add(slot.backend)
            raise answer
        if self._claim is not None:
            await self._claims.finish(self._claim, answer)
        return answer

    async def release_claim(self, verdict: Verdict) -> None:
        """Release the claim, if any, if `verdict` says that the request did not run."""
        if self._claim is not None and verdict is Verdict.NOT_RUN:
            await self._claims.release(self._claim)

    async def _call(
        self, slot: Slot
    ) -> tuple[ServiceAnswer | RefusedError, SlotOutcome]:
        """Call the backend server; return its response or refusal and slot outcome."""
        try:
            return await self._backends.call(slot.address, self.req), SlotOutcome.FREE
        except RefusedError as exc:
            return exc, OUTCOME_BY_REASON.get(exc.reason, SlotOutcome.FREE)
        except UnavailableError as exc:
            refusal = RefusedError(
                "backend_failed",
                str(exc),
                verdict=exc.verdict,
                retry_after=BACKEND_FAILED_RETRY_AFTER,
            )
            refusal.__cause__ = exc
            # The request was never sent, so it does not occupy the slot.
            not_sent = exc.verdict is Verdict.NOT_RUN
            return refusal, SlotOutcome.REFUSED if not_sent else SlotOutcome.SUSPECT
