"""Sends orders to stop runs, and repeats them until servers carry them out."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from cassiaweir.dispatch._call_queue import CallKind, CallQueues
from cassiaweir.dispatch._runs import Run, RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_client import ServerClient
from cassiaweir.dispatch._server_entry import OrderOutcome
from cassiaweir.exceptions import UnavailableError
from cassiaweir.leadership import Leadership
from cassiaweir.types import Clock
from cassiaweir.verdict import Verdict

ORDER_TIMEOUT = timedelta(milliseconds=400)
RETRY_DELAY = timedelta(milliseconds=60)
REFUSED_STOP_DELAY = timedelta(milliseconds=250)
"""Pause after a server has answered a stop without carrying it out."""

REFUSED_STOPS = (OrderOutcome.UNHEALTHY, OrderOutcome.INVALID)
"""Answers to a stop by which the run may still run, or start later."""


class StopSender:
    """Sends the orders of a leader's term to stop runs.

    `on_superseded` is called when a server follows a higher epoch.  Orders wait in
    `queues` for their turn, so that none waits for a connection while the time for its
    answer runs.
    """

    def __init__(
        self,
        client: ServerClient,
        clock: Clock,
        leadership: Leadership,
        on_superseded: Callable[[], None],
        queues: CallQueues,
    ) -> None:
        self._client = client
        self._clock = clock
        self._leadership = leadership
        self._on_superseded = on_superseded
        self._queues = queues

    async def stop(self, run: Run) -> bool:
        """Stop `run`, repeating the order until the server carries it out.

        Return whether the run is certainly gone because the lease has expired.
        Otherwise the server's reports show when it ends.
        """
        run.state = RunState.STOPPING
        server = run.server
        while await self._wait_permitted(run):
            queue = self._queues.at(server.entry.address)
            try:
                async with queue.turn(CallKind.STOP, run.job_id):
                    if not server.reachable and self._is_over(run):
                        return True
                    if not self._may_order(run):
                        continue
                    outcome = await queue.order(
                        self._send_stop(server, run.task.name, run.number)
                    )
            except UnavailableError:
                if self._is_over(run):
                    return True
                await self._clock.sleep(RETRY_DELAY)
                continue
            if outcome in REFUSED_STOPS:
                self._log_refused_stop(run.server, run.task.name, run.number, outcome)
                await self._clock.sleep(REFUSED_STOP_DELAY)
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

    async def stop_orphan_run(self, server: Server, task: str, run: int) -> None:
        """Stop a run that belongs to no open task.

        The order is sent once, unless a report shows meanwhile that the run has ended;
        the server's reports show whether it has.
        """
        queue = self._queues.at(server.entry.address)
        try:
            async with queue.turn(CallKind.STOP):
                may_act = self._leadership.may_act(self._clock.monotonic())
                if (task, run) not in server.orphan_runs or not may_act:
                    return
                outcome = await queue.order(self._send_stop(server, task, run))
        except UnavailableError as exc:
            logger.info(
                "orphan_run_not_stopped",
                task=task,
                run=run,
                server=server.server_id,
                cause=str(exc),
            )
            return
        logger.info(
            "orphan_run_stopped",
            task=task,
            run=run,
            server=server.server_id,
            outcome=outcome.value,
        )

    async def stop_late_start(self, server: Server, task: str, run: int) -> None:
        """Keep a server from carrying out a late start of a run that is not expected.

        The order is repeated until the server answers or has begun another lifetime, or
        its leases have expired.  A run that is counted is seen as answered then.
        """
        born, key = server.born, (task, run)
        stopped = False
        while not stopped and not self._leadership.lost and server.born == born:
            now = self._clock.monotonic()
            if self._leadership.may_act(now):
                stopped = await self._try_stop_late(server, task, run, born)
            if not stopped and server.leases_expired(self._clock.monotonic()):
                break
            if not stopped:
                await self._clock.sleep(REFUSED_STOP_DELAY)
        if server.born != born:
            return
        server.late_starts.discard(key)
        if not stopped:
            server.record_lost_start(key)
        counted = server.runs.get(key)
        if counted is not None:
            counted.answered_at = self._clock.monotonic()

    async def _try_stop_late(
        self, server: Server, task: str, run: int, born: int
    ) -> bool:
        """Order a server in its lifetime `born` to stop a run; return whether it does.

        No order is sent if none is needed any more once its turn has come.
        """
        queue = self._queues.at(server.entry.address)
        try:
            async with queue.turn(CallKind.STOP):
                now = self._clock.monotonic()
                expired = not server.reachable and server.leases_expired(now)
                may_act = self._leadership.may_act(now)
                if expired or server.born != born or not may_act:
                    return False
                outcome = await queue.order(self._send_stop(server, task, run))
        except UnavailableError as exc:
            logger.info(
                "late_start_not_stopped",
                task=task,
                run=run,
                server=server.server_id,
                cause=str(exc),
            )
            return False
        if outcome in REFUSED_STOPS:
            self._log_refused_stop(server, task, run, outcome)
            return False
        if outcome is OrderOutcome.FENCED:
            self._on_superseded()
        logger.info(
            "late_start_stopped",
            task=task,
            run=run,
            server=server.server_id,
            outcome=outcome.value,
        )
        return True

    async def _send_stop(self, server: Server, task: str, run: int) -> OrderOutcome:
        """Send one order to stop a run.

        Raises `UnavailableError` if a newer call of this leader overtook it.
        """
        fence = server.fence.value
        outcome = await self._client.stop_run(
            server.entry, task, run, fence, ORDER_TIMEOUT
        )
        if outcome is OrderOutcome.FENCED and server.fence.supersedes(fence):
            raise UnavailableError(
                f"server {server.server_id} has carried out a newer call",
                verdict=Verdict.NOT_RUN,
            )
        return outcome

    @staticmethod
    def _log_refused_stop(
        server: Server, task: str, run: int, outcome: OrderOutcome
    ) -> None:
        logger.info(
            "stop_refused",
            task=task,
            run=run,
            server=server.server_id,
            outcome=outcome.value,
        )

    def _may_order(self, run: Run) -> bool:
        """Return whether an order for `run` may be sent right now and is needed."""
        needed = run.key in run.server.runs and not self._leadership.lost
        return needed and self._leadership.may_act(self._clock.monotonic())

    async def _wait_permitted(self, run: Run) -> bool:
        """Wait until this process may give orders; return whether one is still needed.

        None is needed once the run is no longer counted or the leadership is lost.
        """
        while run.key in run.server.runs and not self._leadership.lost:
            if self._leadership.may_act(self._clock.monotonic()):
                return True
            await self._clock.sleep(RETRY_DELAY)
        return False

    def _lease_expired(self, run: Run) -> bool:
        """Return whether the lease has expired, so that no order has an effect.

        It has to have expired before the leadership was last confirmed: a successor may
        have prolonged it since.
        """
        return run.server.leases_expired(self._leadership.confirmed_at)

    def _is_over(self, run: Run) -> bool:
        """Return whether the run does not exist and no attempt can take effect.

        A start without an answer may take effect in the next lifetime of the server,
        which has seen no lease end of the present one.
        """
        if run.must_wait_for_late_start(self._clock.monotonic()):
            return False
        return self._lease_expired(run)
