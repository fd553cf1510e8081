"""Orders to servers, each repeated until its effect is known."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

from loguru import logger

from cassiaweir.dispatch._runs import Run, RunState
from cassiaweir.dispatch._server_entry import (
    OrderOutcome,
    ServerEntry,
    ServerReport,
    StartOrder,
)
from cassiaweir.exceptions import UnavailableError
from cassiaweir.leadership import Leadership
from cassiaweir.types import Clock
from cassiaweir.verdict import Verdict

ORDER_TIMEOUT = timedelta(milliseconds=400)
REPEAT_DELAY = timedelta(milliseconds=60)


class ServerClient(Protocol):
    """Calls to backend servers."""

    async def renew_lease(
        self,
        entry: ServerEntry,
        *,
        epoch: int,
        until_ms: int | None,
        acknowledged: int,
        wait: timedelta,
        timeout: timedelta,
    ) -> ServerReport:
        """Extend the lease of all runs and return the server's report."""

    async def start(
        self, entry: ServerEntry, order: StartOrder, timeout: timedelta
    ) -> OrderOutcome:
        """Start a run; repeating the same order is harmless."""

    async def stop_run(
        self, entry: ServerEntry, task: str, run: int, epoch: int, timeout: timedelta
    ) -> OrderOutcome:
        """Stop a run, or keep it from starting later."""


class StartResult(StrEnum):
    """What came of the order to start a run."""

    STARTED = "started"
    NOT_STARTED = "not_started"
    """Nothing runs and nothing will: the task may be placed again."""

    UNKNOWN = "unknown"
    """The server's reports, or the end of its lease, will tell."""


class OrderSender:
    """Sends the orders of one term.

    `on_superseded` is called when a server follows a higher epoch.
    """

    def __init__(
        self,
        calls: ServerClient,
        clock: Clock,
        lead: Leadership,
        on_superseded: Callable[[], None],
    ) -> None:
        self._calls = calls
        self._clock = clock
        self._lead = lead
        self._on_superseded = on_superseded

    async def start(self, run: Run) -> tuple[StartResult, OrderOutcome | None]:
        """Start `run`, repeating the order while it is in doubt."""
        in_doubt = False
        while await self._wanted(run):
            if run.task.step.job.ended:
                break
            try:
                outcome = await self._send_start(run)
            except UnavailableError as exc:
                run.server.reachable = False
                in_doubt = in_doubt or exc.verdict is not Verdict.NOT_RUN
                logger.info(
                    "start_unanswered",
                    task=run.task.name,
                    run=run.number,
                    server=run.server.server_id,
                    in_doubt=in_doubt,
                    cause=str(exc),
                )
                if not in_doubt or self._lapsed(run):
                    return StartResult.NOT_STARTED, None
                await self._clock.sleep(REPEAT_DELAY)
                continue
            return await self._judge(run, outcome, in_doubt), outcome
        if not in_doubt:
            return StartResult.NOT_STARTED, None
        return await self._stop_doubtful(run), None

    async def stop(self, run: Run) -> bool:
        """Stop `run`; tell whether it is certainly gone, else reports will tell."""
        run.state = RunState.STOPPING
        while await self._wanted(run):
            try:
                outcome = await self._calls.stop_run(
                    run.server.entry,
                    run.task.name,
                    run.number,
                    self._lead.epoch,
                    ORDER_TIMEOUT,
                )
            except UnavailableError:
                if self._lapsed(run):
                    return True
                await self._clock.sleep(REPEAT_DELAY)
                continue
            if outcome is OrderOutcome.FENCED:
                self._on_superseded()
            run.answered_at = self._clock.monotonic()
            logger.info(
                "run_stopped",
                task=run.task.name,
                run=run.number,
                server=run.server.server_id,
                outcome=outcome.value,
            )
            return False
        return False

    async def stop_orphan_run(self, entry: ServerEntry, task: str, run: int) -> None:
        """Stop a run that should not be there; reports show whether it went."""
        try:
            outcome = await self._calls.stop_run(
                entry, task, run, self._lead.epoch, ORDER_TIMEOUT
            )
        except UnavailableError as exc:
            logger.info(
                "stray_not_stopped",
                task=task,
                run=run,
                server=entry.server_id,
                cause=str(exc),
            )
            return
        logger.info(
            "stray_stopped",
            task=task,
            run=run,
            server=entry.server_id,
            outcome=outcome.value,
        )

    async def _wanted(self, run: Run) -> bool:
        """Wait until orders may be given; tell whether the run is still counted."""
        while run.key in run.server.runs and not self._lead.lost:
            if self._lead.may_act(self._clock.monotonic()):
                return True
            await self._clock.sleep(REPEAT_DELAY)
        return False

    async def _send_start(self, run: Run) -> OrderOutcome:
        if run.until_ms is None:
            run.until_ms = run.server.start_lease_end_ms(self._clock.monotonic())
        if run.until_ms is None:
            raise UnavailableError(
                f"the clock of {run.server.server_id} is not known",
                verdict=Verdict.NOT_RUN,
            )
        task = run.task
        order = StartOrder(
            task=task.name,
            run=run.number,
            spec=task.step.job.spec.task_spec,
            until_ms=run.until_ms,
            epoch=self._lead.epoch,
            checkpoint=task.step.checkpoint_of(task),
            ticket=run.ticket,
        )
        return await self._calls.start(run.server.entry, order, ORDER_TIMEOUT)

    async def _judge(
        self, run: Run, outcome: OrderOutcome, in_doubt: bool
    ) -> StartResult:
        """Return what an answer means after attempts that got none."""
        run.answered_at = self._clock.monotonic()
        if outcome is OrderOutcome.ACCEPTED:
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
            return StartResult.STARTED
        if outcome is OrderOutcome.FENCED:
            self._on_superseded()
            return StartResult.UNKNOWN
        if in_doubt:
            # An attempt that got no answer may still be carried out.
            return await self._stop_doubtful(run)
        return StartResult.NOT_STARTED

    async def _stop_doubtful(self, run: Run) -> StartResult:
        run.answered_at = None
        gone = await self.stop(run)
        return StartResult.NOT_STARTED if gone else StartResult.UNKNOWN

    def _lapsed(self, run: Run) -> bool:
        """Tell whether no attempt for `run` can be carried out any more."""
        return run.server.leases_expired(self._clock.monotonic())
