"""Decides in which order waiting tasks start, and on which servers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from loguru import logger

from cassiaweir.dispatch._advice_cache import AdviceCache
from cassiaweir.dispatch._advice_questions import AdviceQuestions
from cassiaweir.dispatch._cold_servers import ColdServers
from cassiaweir.dispatch._crash_tracker import CrashTracker
from cassiaweir.dispatch._customer_caps import CustomerCaps
from cassiaweir.dispatch._evacuation import Evacuations
from cassiaweir.dispatch._former_usage import FormerUsage
from cassiaweir.dispatch._gang_planner import GangPlanner, WaitingGang
from cassiaweir.dispatch._gate import TakeoverGate
from cassiaweir.dispatch._job_errors import JobAction
from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.dispatch._loop_turns import LoopTurns
from cassiaweir.dispatch._number_checks import usable_by_numbers
from cassiaweir.dispatch._objective import DeadlineStatus
from cassiaweir.dispatch._placement import (
    choose_servers,
    find_future_candidates,
    servers_with_room,
    with_interference,
)
from cassiaweir.dispatch._preemption import preempt_for_step
from cassiaweir.dispatch._quarantine import Quarantine, TaskGroup
from cassiaweir.dispatch._reservations import Reservations
from cassiaweir.dispatch._run_registry import RunRegistry
from cassiaweir.dispatch._runs import Run
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_search import ServerSearch
from cassiaweir.dispatch._usage import CustomerUsage
from cassiaweir.dispatch._wait_causes import WaitCause, WaitSummary
from cassiaweir.dispatch._waiting_steps import (
    URGENT_PRIORITY,
    WaitingStep,
    WaitingSteps,
)
from cassiaweir.jobs import Isolation, Step
from cassiaweir.observe import Metrics
from cassiaweir.scheduling import InterferenceModel
from cassiaweir.types import Clock, Resources

MAX_ENTRIES_AGE = timedelta(seconds=3)
"""Nothing starts by entries of servers that are older: their rooms may have shrunk."""

MAX_CONSIDERED_GANGS = 16
"""Waiting gangs that one round looks at, the first ones by rank.

Reservations have a limit that few gangs reach, and each gang costs as much as many
small steps: with a hundred of them the leader did little else.
"""

PLACING = (JobAction.PLACE, JobAction.START)
"""After an error with one of these, a job's tasks are not placed for some time."""


@dataclass(slots=True)
class RoundCounts:
    """What a placement round did, for logs.

    `steps` is the number of steps with tasks that could start, `looked_at` how often
    servers were looked for, `placed` the number of tasks placed, and `slices` that of
    the parts in which it was done.
    """

    steps: int = 0
    looked_at: int = 0
    placed: int = 0
    slices: int = 0


@dataclass(frozen=True, slots=True)
class _Round:
    """A placement round: the steps in the order of rank, and where it may place them.

    `jobs` are the ids of their jobs.  `rooms` is what was free on each usable server
    when the round began.  Room that is freed later belongs to the first steps of the
    next round.
    """

    steps: Sequence[WaitingStep]
    jobs: frozenset[str]
    rooms: Mapping[str, Resources]


class Placer:
    """Places waiting tasks on servers, in rounds that are divided into slices.

    Between two slices of a round the caller lets other work run, so that a large
    backlog keeps no lease, report or probe waiting.

    `launch` is called with the runs that are to be started, and `preempt` with a run to
    stop and the urgent step that needs its room.

    `confirm_leadership` returns whether this process was still the leader when the
    store had a given version.  A new leader starts jobs that were stored after its
    election at once, so a leader that was replaced without noticing must not start
    them.  `entries_age` returns how long ago the servers' entries were current for
    sure.  While `store_reachable` returns False, servers whose row must name each
    task before its start get no new runs.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        runs: RunRegistry,
        usage: CustomerUsage,
        advice: AdviceCache,
        clock: Clock,
        servers: Mapping[str, Server],
        *,
        gate: TakeoverGate,
        crashes: CrashTracker,
        evacuations: Evacuations,
        cold: ColdServers,
        interference: InterferenceModel,
        confirm_leadership: Callable[[int], bool],
        store_reachable: Callable[[], bool],
        entries_age: Callable[[], timedelta],
        preempt: Callable[[Run, Step], None],
        launch: Callable[[Sequence[Run]], None],
        turns: LoopTurns,
        metrics: Metrics,
    ) -> None:
        self._jobs = jobs
        self._errors = jobs.errors
        self._runs = runs
        self._advice = advice
        self._clock = clock
        self._servers = servers
        self._waiting = WaitingSteps(jobs, clock, gate, crashes)
        former = FormerUsage(jobs, gate, servers, clock)
        self._caps = CustomerCaps(jobs, usage, former)
        self._quarantine = Quarantine()
        self._evacuations = evacuations
        self._cold = cold
        self._interference = interference
        self._confirm_leadership = confirm_leadership
        self._store_reachable = store_reachable
        self._entries_age = entries_age
        self._entries_current = True
        self.last_round = RoundCounts()
        self._round = _Round((), frozenset(), {})
        self._position = 0
        self._preempt = preempt
        self._launch = launch
        self._turns = turns
        self._metrics = metrics
        self._reservations = Reservations()
        self.waits = WaitSummary(
            self._waiting,
            gate,
            servers,
            clock,
            store_reachable=store_reachable,
            reserved=lambda: self._reservations.of_others(""),
            metrics=metrics,
        )
        self._durations = jobs.models.steps
        self._gangs = GangPlanner(advice, self._reservations, jobs.models, jobs.errors)
        self._search = ServerSearch(
            self._reservations, self._gangs, self._durations, cold, clock
        )
        self._questions = AdviceQuestions(
            advice, self._search, self._gangs, interference, clock
        )
        self._promised: dict[str, Resources] = {}
        self._unconfirmed: dict[str, Step] = {}

    def begin_round(self) -> None:
        """Find the waiting steps, order them by rank, and plan the gangs."""
        now = self._clock.monotonic()
        usable = self._usable_servers(now)
        self.waits.begin_round(usable, now, entries_current=self._entries_current)
        found = sorted(self._waiting.find(now), key=lambda each: each.rank)
        self.last_round = RoundCounts(steps=len(found))
        jobs = frozenset(each.entry.job.job_id for each in found)
        self._quarantine.begin_round(jobs, self._servers.values())
        found = self._limit_gangs(found)
        self._search.begin_round({each.step.name for each in found})
        self._caps.begin_round()
        self._questions.begin_round(usable)
        try:
            self._plan_gangs(found, usable, now)
        except Exception as exc:
            logger.opt(exception=exc).error("gangs_not_planned")
        rooms = {each.server_id: each.free for each in usable}
        self._round = _Round(found, jobs, rooms)
        self._position = 0

    def place(self, limit: timedelta) -> bool:
        """Start tasks of the round's next steps, for about `limit`.

        Return whether all steps of the round have been looked at.
        """
        now = self._clock.monotonic()
        steps = self._round.steps[self._position :]
        rooms = self._round.rooms
        usable = [
            each
            for each in self._begin_slice(steps, now)
            if each.server_id in rooms and each.free.fits(rooms[each.server_id])
        ]
        if not steps:
            return True
        with_room = servers_with_room(usable, [each.step for each in steps])
        for waiting in steps:
            if self._turns.backlogged and waiting.queue.priority != URGENT_PRIORITY:
                break
            self._position += 1
            if not waiting.entry.job.ended:
                self._try_place(waiting, usable, with_room)
            if self._clock.monotonic() - now >= limit.total_seconds():
                break
        self.last_round.looked_at = self._search.looks
        return self._position == len(self._round.steps)

    def take_unconfirmed(self) -> list[Step]:
        """Return the urgent steps that waited for the leadership to be confirmed."""
        steps = list(self._unconfirmed.values())
        self._unconfirmed.clear()
        return steps

    @property
    def backlogged(self) -> bool:
        """Whether nothing but urgent steps is placed until launched starts are sent."""
        return self._turns.backlogged

    def is_urgent(self, step: Step) -> bool:
        """Return whether `step` belongs to an urgent queue."""
        return self._jobs.queue_of(step.job).priority == URGENT_PRIORITY

    def place_urgent(self, steps: Iterable[Step], limit: timedelta) -> None:
        """Start tasks of urgent `steps`, for about `limit`, beside the present round.

        They may use room that was freed since the round began: urgent steps come first
        in the next round as well.
        """
        now = self._clock.monotonic()
        found = sorted(self._waiting.find_among(steps, now), key=lambda each: each.rank)
        found = [each for each in found if not each.entry.over_share]
        if not found:
            return
        usable = self._begin_slice(found, now)
        self._cold.expect_others()
        with_room = servers_with_room(usable, [each.step for each in found])
        with self.waits.muted():
            for waiting in found:
                self._try_place(waiting, usable, with_room, in_round=False)
                if self._clock.monotonic() - now >= limit.total_seconds():
                    return

    def _begin_slice(self, steps: Sequence[WaitingStep], now: float) -> list[Server]:
        """Return the servers that may be used now, and forget what was found before.

        Reports, entries and requests of operators may have changed since the last slice
        of the round.
        """
        usable = self._usable_servers(now)
        jobs = self._round.jobs | {each.entry.job.job_id for each in steps}
        self._quarantine.begin_round(jobs, self._servers.values())
        self._cold.begin_round(usable, steps, now)
        self._promised.clear()
        self._search.begin_slice()
        self.last_round.slices += 1
        return usable

    def _try_place(
        self,
        waiting: WaitingStep,
        usable: Sequence[Server],
        with_room: Sequence[Server],
        *,
        in_round: bool = True,
    ) -> None:
        """Place tasks of a step; an error with it must not keep the others waiting.

        In a round, a step may have to wait for an answer of the advice service.
        """
        job_id = waiting.entry.job.job_id
        if any(self._errors.is_paused(job_id, each) for each in PLACING):
            return
        try:
            if in_round and self._questions.waits_for_answer(waiting):
                tasks = waiting.step.waiting_count
                self.waits.note_missing(waiting, tasks, Isolation.NONE, ())
            else:
                self._place_step(waiting, usable, with_room)
        except Exception as exc:
            self._errors.note(job_id, JobAction.PLACE, exc)
        else:
            self._errors.clear(job_id, JobAction.PLACE)

    def _usable_servers(self, now: float) -> list[Server]:
        """Return the servers where tasks may be started at `now`."""
        may_record = self._store_reachable()
        entries_current = self._check_entries()
        usable = [
            server
            for server in self._servers.values()
            if entries_current
            and server.accepts_new_runs(now)
            and not server.health.suspended(now)
            and (may_record or not server.restricted)
        ]
        self._discard_evacuated()
        return self._evacuations.usable(usable, now)

    def _check_entries(self) -> bool:
        """Return whether the servers' entries are current enough to place tasks."""
        age = self._entries_age()
        current = age <= MAX_ENTRIES_AGE
        if current != self._entries_current:
            self._entries_current = current
            logger.info(
                "server_entries_current" if current else "server_entries_too_old",
                age_ms=round(age.total_seconds() * 1_000),
            )
        return current

    def _discard_evacuated(self) -> None:
        """Discard what was decided with servers of newly evacuated domains."""
        evacuated = self._evacuations.newly_evacuated_servers()
        if evacuated:
            self._reservations.release_with(evacuated)
            self._search.forget_future()

    def _limit_gangs(self, found: Sequence[WaitingStep]) -> list[WaitingStep]:
        """Return the steps in `found` without the gangs that this round leaves out."""
        kept = []
        gangs = 0
        for waiting in found:
            if waiting.step.spec.gang and waiting.queue.priority != URGENT_PRIORITY:
                gangs += 1
                if gangs > MAX_CONSIDERED_GANGS:
                    count = waiting.step.waiting_count
                    self.waits.note(waiting, WaitCause.ORDER, count)
                    continue
            kept.append(waiting)
        return kept

    def _plan_gangs(
        self, found: Iterable[WaitingStep], usable: Sequence[Server], now: float
    ) -> None:
        """Plan the start of the gangs that may reserve servers, in order of rank."""
        gangs: list[WaitingGang] = []
        planned = [
            each
            for each in found
            if each.step.spec.gang and each.queue.priority != URGENT_PRIORITY
        ]
        self._errors.visit_each(
            JobAction.PLAN_GANG,
            planned,
            lambda waiting: waiting.entry.job.job_id,
            lambda waiting: gangs.extend(self._gang_groups(waiting, usable, now)),
        )
        self._gangs.plan(gangs, {each.entry.server_id for each in usable}, now)

    def _gang_groups(
        self, waiting: WaitingStep, usable: Sequence[Server], now: float
    ) -> Iterator[WaitingGang]:
        """Yield the gang of a step with the servers where it may start.

        There is none while some of its tasks may not start yet.
        """
        step = waiting.step
        tasks = self._waiting.startable_tasks(waiting.entry, step)
        count = len(tasks)
        if count < len(step.tasks) or self._caps.allowed(waiting, count) < count:
            return
        for group in self._quarantine.groups(step, tasks, now):
            if group.isolation is not Isolation.ALONE:
                servers = self._usable_for(step, group.isolation, usable, now)
                yield WaitingGang(waiting, servers, count)

    def _note_capped(self, waiting: WaitingStep, tasks: int, capped: int) -> None:
        """Note that the cap of the customer keeps `capped` of `tasks` waiting."""
        if capped and self.waits.due:
            cause = self._caps.cause(waiting, tasks)
            self.waits.note(waiting, cause, capped)

    def _hold_cap(self, waiting: WaitingStep) -> None:
        """Keep the cap of the customer for a gang that waits and can be on time."""
        urgent = waiting.queue.priority == URGENT_PRIORITY
        on_time = waiting.rank.status == DeadlineStatus.ON_TIME
        if waiting.step.spec.gang and on_time and not urgent:
            self._caps.hold(waiting)

    def _place_step(
        self,
        waiting: WaitingStep,
        usable: Sequence[Server],
        with_room: Sequence[Server],
    ) -> None:
        """Start the tasks of a step that have room, or all of a gang once all have.

        `usable` are the servers where runs may be started, `with_room` those of them
        with room for a task of the smallest waiting step.
        """
        step = waiting.step
        tasks = self._waiting.startable_tasks(waiting.entry, step)
        if step.spec.gang and len(tasks) < len(step.tasks):
            self.waits.note_incomplete(waiting, len(tasks))
            return
        now = self._clock.monotonic()
        for group in self._quarantine.groups(step, tasks, now):
            if group.isolation is Isolation.ALONE:
                self._set_aside(waiting, len(group.tasks), usable)
            allowed = self._usable_for(step, group.isolation, usable, now)
            self._place_group(
                waiting,
                group,
                allowed,
                self._usable_for(step, group.isolation, with_room, now),
                askable=allowed or usable,
            )

    def _usable_for(
        self, step: Step, isolation: Isolation, servers: Sequence[Server], now: float
    ) -> Sequence[Server]:
        """Return those of `servers` where tasks of a step may be placed."""
        found = self._quarantine.usable(step, isolation, servers)
        return usable_by_numbers(step, isolation, found, now)

    def _set_aside(
        self, waiting: WaitingStep, tasks: int, usable: Sequence[Server]
    ) -> None:
        """Set servers aside for `tasks` suspected tasks, only ones that advice allows.

        Where none is known to be allowed yet, advice about any is asked for first.
        """
        found = find_future_candidates(
            waiting.step, self._search.available(waiting, usable), tasks
        )
        if waiting.queue.advice is not None:
            known = self._advice.allowed(waiting.step)
            found = [each for each in found if each.server.server_id in known]
        self._quarantine.set_aside(waiting.step, tasks, found, usable)

    def _place_group(
        self,
        waiting: WaitingStep,
        group: TaskGroup,
        usable: Sequence[Server],
        with_room: Sequence[Server],
        *,
        askable: Sequence[Server],
    ) -> None:
        """Start tasks of a step that are placed in the same way.

        Advice is asked for among the `askable` servers.
        """
        step, queue, tasks = waiting.step, waiting.queue, group.tasks
        alone = group.isolation is Isolation.ALONE
        within_cap = self._caps.allowed(waiting, len(tasks))
        if within_cap == 0 or (step.spec.gang and within_cap < len(tasks)):
            self._note_capped(waiting, len(tasks), len(tasks))
            self._reservations.release(step.name)
            self._hold_cap(waiting)
            return
        self._note_capped(waiting, len(tasks), len(tasks) - within_cap)
        tickets = None
        if queue.advice is not None:
            tickets = self._advice.tickets(step)
        candidates = with_interference(
            step,
            self._search.candidates(waiting, with_room, tickets, within_cap),
            self._interference,
        )
        urgent = queue.priority == URGENT_PRIORITY
        if step.spec.gang and not group.isolation:
            now = self._clock.monotonic()
            chosen = self._gangs.choose(step, candidates, within_cap, now)
        else:
            if not step.spec.gang and not group.isolation and not urgent:
                candidates += self._search.backfill_candidates(
                    waiting, with_room, tickets, within_cap
                )
            chosen = choose_servers(
                step,
                candidates,
                within_cap,
                emptiest_first=bool(group.isolation),
                reserved=self._reservations.of_others(step.name),
            )
        missing = within_cap - len(chosen)
        if queue.advice is not None and self._questions.is_worth_asking(
            waiting, missing
        ):
            asked = askable if alone else with_room
            self._questions.ask(waiting, askable, asked, within_cap, tickets or {})
        if not self._confirm_leadership(waiting.entry.job.version):
            self.waits.note(waiting, WaitCause.STORE, within_cap)
            if urgent:
                self._unconfirmed[step.name] = step
            return
        self.waits.note_missing(waiting, missing, group.isolation, candidates)
        if step.spec.gang and missing > 0:
            if self._reservations.of(step.name) is not None:
                self._hold_cap(waiting)
            self._preempt_others(waiting, usable, tickets, missing)
            return
        self._reservations.release(step.name)
        self._start(waiting, group, chosen, tickets or {})
        self._preempt_others(waiting, usable, tickets, missing)

    def _preempt_others(
        self,
        waiting: WaitingStep,
        servers: Sequence[Server],
        tickets: Mapping[str, str] | None,
        missing: int,
    ) -> None:
        """Preempt runs for `missing` tasks of an urgent step that can end on time.

        Nothing is preempted for a job beyond its customer's share.
        """
        on_time = waiting.rank.status == DeadlineStatus.ON_TIME
        urgent = waiting.queue.priority == URGENT_PRIORITY
        if missing <= 0 or not urgent or not on_time or waiting.entry.over_share:
            return
        preempt_for_step(
            waiting.step,
            self._search.with_tickets(waiting, servers, tickets),
            missing,
            self._clock.monotonic(),
            self._preempt,
            duration_s=self._gangs.duration_s(waiting.step),
            promised=self._promised,
        )

    def _spread(self, step: Step) -> float:
        return self._durations.spread(step.name, step.job.spec.queue.name)

    def _note_backfilled(self, step: Step, runs: Iterable[Run]) -> None:
        """Count those of `runs` that were placed on servers reserved for gangs."""
        reserved = self._reservations.of_others(step.name)
        if not reserved or step.spec.gang:
            return
        now = self._clock.monotonic()
        servers = []
        for run in runs:
            room = None
            if run.server.server_id in reserved:
                room = self._reservations.backfill_room(run.server.server_id)
            if room is not None:
                room.take(
                    run.demand, now, self._gangs.duration_s(step), self._spread(step)
                )
                servers.append(run.server.server_id)
        if servers:
            self._metrics.count("backfilled_tasks", len(servers))
            logger.info("task_backfilled", step=step.name, servers=",".join(servers))

    def _start(
        self,
        waiting: WaitingStep,
        group: TaskGroup,
        chosen: Sequence[Server],
        tickets: Mapping[str, str],
    ) -> None:
        step = waiting.step
        runs: list[Run] = []
        tasks = group.tasks.first(len(chosen))
        gang_number = self._runs.next_gang_number(step) if step.spec.gang else None
        try:
            for task, server in zip(tasks, chosen, strict=False):
                number = gang_number or self._runs.next_number(task)
                ticket = tickets.get(server.server_id, "")
                run = self._runs.place(task, server, number, ticket, group.isolation)
                runs.append(run)
        finally:
            # A run that is counted and never launched would take its room for good.
            if runs:
                self._launch(runs)
        self.last_round.placed += len(runs)
        age_s = self._clock.monotonic() - waiting.entry.submitted_at
        status = DeadlineStatus(waiting.rank.status).name.lower()
        if runs:
            queue = waiting.queue.name
            self._metrics.observe("placement_age", age_s, queue=queue, status=status)
        if runs and group.isolation is Isolation.ALONE:
            self._quarantine.started(step.job.job_id)
        if runs:
            servers = {run.server.server_id: run.server for run in runs}
            logger.info(
                "tasks_placed",
                step=step.name,
                tasks=len(runs),
                run=runs[0].number,
                servers=",".join(sorted(servers)),
                loads=",".join(servers[each].load_text for each in sorted(servers)),
                isolation=group.isolation.name.lower(),
                status=status,
                age_ms=round(age_s * 1_000),
                customer=step.job.spec.customer,
                customer_load=self._caps.load_text(waiting),
                configuration=self._jobs.configuration_version,
            )
            self._note_backfilled(step, runs)
