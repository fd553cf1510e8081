"""Sends starts to servers and repeats each until its effect is known."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from enum import StrEnum

from loguru import logger

from cassiaweir.dispatch._call_queue import CallKind, CallQueues
from cassiaweir.dispatch._evacuation import StartPermit
from cassiaweir.dispatch._loop_turns import LoopTurns
from cassiaweir.dispatch._runs import Run, RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_client import ServerClient
from cassiaweir.dispatch._server_entry import OrderOutcome, StartOrder
from cassiaweir.dispatch._stop_orders import (
    ORDER_TIMEOUT,
    RETRY_DELAY,
    StopSender,
)
from cassiaweir.exceptions import FencedError, UnavailableError
from cassiaweir.leadership import Leadership
from cassiaweir.types import Clock
from cassiaweir.verdict import Verdict

MAX_RETRY_DELAY = timedelta(milliseconds=480)
"""A start in doubt is repeated after twice the pause before, up to this one."""

UNKNOWN_PERMITS = (StartPermit.UNKNOWN, StartPermit.CANCELS_UNKNOWN)


class StartResult(StrEnum):
    """The result of an order to start a run."""

    STARTED = "started"
    NOT_STARTED = "not_started"
    """The run does not exist and never will, so the task may be placed again."""

    UNKNOWN = "unknown"
    """Only a report or the expiry of the server's lease can show the effect."""


class _Unanswered(StrEnum):
    """Why an attempt of a start has no answer."""

    NOT_DUE = "not_due"
    """What it depends on has changed while it waited, and is asked for again."""

    NOT_WANTED = "not_wanted"
    NOT_RECEIVED = "not_received"
    """The server has certainly not received it."""

    IN_DOUBT = "in_doubt"
    """The server may carry it out."""


class OrderSender(StopSender):
    """Sends the orders of a leader's term to start and to stop runs.

    `on_superseded` is called when a server follows a higher epoch, and `permit` right
    before each attempt of a start.  Orders wait in `queues` for their turn, so that
    none waits for a connection while the time for its answer runs.  Starts that are not
    urgent take `turns` on the event loop.
    """

    def __init__(
        self,
        client: ServerClient,
        clock: Clock,
        leadership: Leadership,
        on_superseded: Callable[[], None],
        permit: Callable[[Server], StartPermit] = lambda _: StartPermit.GRANTED,
        queues: CallQueues | None = None,
        turns: LoopTurns | None = None,
    ) -> None:
        queues = queues or CallQueues()
        self._turns = turns or LoopTurns()
        super().__init__(client, clock, leadership, on_superseded, queues)
        self._permit = permit

    async def start(self, run: Run) -> tuple[StartResult, OrderOutcome | None]:
        """Start `run`, repeating the order while an attempt is in doubt.

        An attempt is in doubt if it got no answer but the server may carry it out.  It
        is repeated only after the server has answered in the lifetime that the run is
        meant for, as the next one may have less room.  If the server's domain is being
        evacuated, no further attempt is made, and a run in doubt is stopped.  Return
        the result, and the server's answer to the last attempt if there was one.
        """
        in_doubt = False
        delay = RETRY_DELAY
        while await self._wait_start_permitted(run, in_doubt):
            attempt = await self._try_start(run, in_doubt)
            if isinstance(attempt, OrderOutcome):
                return await self._interpret_answer(run, attempt, in_doubt), attempt
            if attempt is _Unanswered.NOT_DUE:
                continue
            if attempt is _Unanswered.NOT_WANTED:
                break
            in_doubt |= attempt is _Unanswered.IN_DOUBT
            if not in_doubt or self._is_over(run):
                return StartResult.NOT_STARTED, None
            await self._clock.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_DELAY)
        if not in_doubt:
            return StartResult.NOT_STARTED, None
        return await self._stop_in_doubt(run), None

    async def _try_start(self, run: Run, in_doubt: bool) -> OrderOutcome | _Unanswered:
        """Make one attempt to start `run`; return the answer, or why there is none."""
        queue = self._queues.at(run.server.entry.address)
        sent_before = run.sent_at
        try:
            async with queue.turn(_start_kind(run, in_doubt), run.job_id):
                if not run.urgent:
                    await self._turns.wait()
                cause = self._cause_not_to_start(run, in_doubt)
                if cause is not None:
                    return cause
                run.sent_at = self._clock.monotonic()
                outcome = await queue.order(self._send_start(run, repeated=in_doubt))
        except UnavailableError as exc:
            return self._note_unanswered(run, exc, in_doubt, sent_before)
        if outcome is None:
            run.sent_at = sent_before
            return _Unanswered.NOT_DUE
        return outcome

    def _cause_not_to_start(self, run: Run, in_doubt: bool) -> _Unanswered | None:
        """Return why an attempt whose turn has come is not made, None if it is.

        What it depends on may have changed while it waited for its rows and its turn.
        """
        if not self._is_permitted(run):
            return _Unanswered.NOT_DUE
        if not _is_wanted(run):
            return _Unanswered.NOT_WANTED
        if in_doubt:
            return _Unanswered.NOT_RECEIVED if self._lease_expired(run) else None
        if run.server.entry.draining:
            return _Unanswered.NOT_WANTED
        now = self._clock.monotonic()
        if not run.server.expects_answer(now) or _could_end_unread(run, now):
            return _Unanswered.NOT_RECEIVED
        return None

    def _note_unanswered(
        self,
        run: Run,
        exc: UnavailableError,
        in_doubt: bool,
        sent_before: float | None,
    ) -> _Unanswered:
        """Note that an attempt got no answer; return what that means for the run.

        `sent_before` is when an earlier attempt was sent that may be carried out.
        """
        received = exc.verdict is not Verdict.NOT_RUN
        run.server.reachable = False
        if received and run.sent_at is not None:
            run.server.record_unanswered_start(run, run.sent_at)
        else:
            run.sent_at = sent_before
        logger.info(
            "start_unanswered",
            task=run.task.name,
            run=run.number,
            server=run.server.server_id,
            in_doubt=in_doubt or received,
            cause=str(exc),
        )
        return _Unanswered.IN_DOUBT if received else _Unanswered.NOT_RECEIVED

    def _is_permitted(self, run: Run) -> bool:
        """Return whether a start may be sent right now and is still needed."""
        granted = self._permit(run.server) is StartPermit.GRANTED
        return self._may_order(run) and granted

    async def _wait_start_permitted(self, run: Run, in_doubt: bool) -> bool:
        """Wait until a start may be sent; return whether to send it.

        A first attempt does not wait for the requests to evacuate domains and to cancel
        jobs to be known again, as the task can be placed anew.  A run in doubt does: it
        may be running already, and is stopped only if such a request concerns it.
        """
        while await self._wait_permitted(run):
            permit = self._permit(run.server)
            if permit is StartPermit.GRANTED:
                return True
            waits = in_doubt and permit in UNKNOWN_PERMITS
            if waits and not self._lease_expired(run):
                await self._clock.sleep(RETRY_DELAY)
                continue
            logger.info(
                "start_abandoned" if in_doubt else "start_withheld",
                task=run.task.name,
                run=run.number,
                server=run.server.server_id,
                domain=run.server.entry.failure_domain,
                evacuation=permit.value,
            )
            return False
        return False

    async def _check_lifetime(self, run: Run) -> OrderOutcome:
        """Return ACCEPTED if the server still is in the lifetime meant for `run`.

        Neither the lease nor the ends of the server are touched.  Raises
        `UnavailableError` if that is not known; the start was not sent then.
        """
        fence = run.server.fence.value
        try:
            report = await self._client.renew_lease(
                run.server.entry,
                epoch=fence,
                until_ms=None,
                acknowledged=0,
                wait=timedelta(0),
                timeout=ORDER_TIMEOUT,
            )
        except UnavailableError as exc:
            raise UnavailableError(str(exc), verdict=Verdict.NOT_RUN) from exc
        except FencedError as exc:
            if run.server.fence.supersedes(fence):
                raise UnavailableError(str(exc), verdict=Verdict.NOT_RUN) from exc
            return OrderOutcome.FENCED
        if report.born != run.born:
            return OrderOutcome.OTHER_LIFETIME
        return OrderOutcome.ACCEPTED

    async def _send_start(self, run: Run, *, repeated: bool) -> OrderOutcome | None:
        """Send a start, a repeated one only if the server's lifetime goes on.

        Return None if it was not sent, as it is no longer due once that is known, or
        not carried out, as a newer call of this leader overtook it.
        """
        if repeated:
            found = await self._check_lifetime(run)
            if found is not OrderOutcome.ACCEPTED:
                return found
            if not (_is_wanted(run) and self._is_permitted(run)):
                return None
        if run.until_ms is None:
            run.until_ms = _lease_end_ms(run, self._clock.monotonic())
        if run.until_ms is None:
            raise UnavailableError(
                f"no report has shown the clock of server {run.server.server_id} yet",
                verdict=Verdict.NOT_RUN,
            )
        task = run.task
        order = StartOrder(
            task=task.name,
            run=run.number,
            spec=task.step.job.spec.task_spec,
            until_ms=run.until_ms,
            epoch=run.server.fence.value,
            checkpoint=run.resumed_checkpoint,
            ticket=run.ticket,
        )
        fence = run.server.fence
        try:
            outcome = await self._client.start(run.server.entry, order, ORDER_TIMEOUT)
        except UnavailableError as exc:
            if exc.verdict is not Verdict.NOT_RUN:
                fence.note_unanswered(order.epoch)
            raise
        overtaken = outcome is OrderOutcome.FENCED and fence.supersedes(order.epoch)
        return None if overtaken else outcome

    async def _interpret_answer(
        self, run: Run, outcome: OrderOutcome, in_doubt: bool
    ) -> StartResult:
        """Return what an answer to a start means.

        `in_doubt` is whether an earlier attempt got no answer and may be carried out.
        """
        run.answered_at = self._clock.monotonic()
        if run.checks_numbers and outcome is OrderOutcome.TOO_LATE:
            run.server.leases.note_brief_too_late(run.answered_at)
        if outcome is not OrderOutcome.ACCEPTED and not in_doubt:
            run.sent_at = None
        if outcome is OrderOutcome.ACCEPTED:
            run.server.leases.note_start_accepted(run.answered_at)
            if run.until_ms is not None and run.born == run.server.born:
                run.server.leases.note_granted(run.until_ms)
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
            return StartResult.STARTED
        if outcome is OrderOutcome.FENCED:
            self._on_superseded()
            return StartResult.UNKNOWN
        if in_doubt:
            # This attempt was refused, but an earlier one may still be carried out.
            return await self._stop_in_doubt(run)
        return StartResult.NOT_STARTED

    async def _stop_in_doubt(self, run: Run) -> StartResult:
        """Stop a run that an attempt without an answer may start."""
        run.answered_at = None
        gone = await self.stop(run)
        return StartResult.NOT_STARTED if gone else StartResult.UNKNOWN


def _start_kind(run: Run, in_doubt: bool) -> CallKind:
    """Return what an attempt to start `run` counts as among the calls to its server."""
    if run.urgent:
        return CallKind.REPEATED_URGENT_START if in_doubt else CallKind.URGENT_START
    if in_doubt:
        return CallKind.REPEATED_START
    return CallKind.GANG_START if run.task.step.spec.gang else CallKind.START


def _lease_end_ms(run: Run, now: float) -> int | None:
    """Return the end of the lease of a start sent now, None if no clock is known."""
    if run.checks_numbers and run.server.forgets_ends:
        return run.server.leases.brief_end_ms(now)
    return run.server.start_lease_end_ms(now)


def _could_end_unread(run: Run, now: float) -> bool:
    """Return whether a run that is to lapse at once could be done before it does."""
    doubtful = run.checks_numbers and run.server.forgets_ends
    return doubtful and not run.server.may_check_numbers(now)


def _is_wanted(run: Run) -> bool:
    """Return whether `run` is to begin in the lifetime that its server is in."""
    return (
        run.state is not RunState.STOPPING
        and run.born == run.server.born
        and not run.task.step.job.ended
    )
