"""Decides in which order waiting tasks start, and on which servers."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping, Sequence
from datetime import timedelta

from loguru import logger

from cassiaweir.dispatch._advice_cache import AdviceCache
from cassiaweir.dispatch._advice_choice import exclude_servers, servers_to_ask
from cassiaweir.dispatch._crash_tracker import CrashTracker
from cassiaweir.dispatch._gate import TakeoverGate
from cassiaweir.dispatch._job_registry import JobRegistry
from cassiaweir.dispatch._objective import DeadlineStatus
from cassiaweir.dispatch._placement import (
    Candidate,
    choose_servers,
    find_candidates,
    find_future_candidates,
    preference_key,
    servers_with_room,
    with_interference,
)
from cassiaweir.dispatch._preemption import preempt_for_step
from cassiaweir.dispatch._quarantine import Quarantine, TaskGroup
from cassiaweir.dispatch._reservations import RESERVATION_HEADROOM, Reservations
from cassiaweir.dispatch._run_registry import RunRegistry
from cassiaweir.dispatch._runs import Run
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._usage import CustomerUsage
from cassiaweir.dispatch._waiting_steps import (
    URGENT_PRIORITY,
    WaitingStep,
    WaitingSteps,
)
from cassiaweir.jobs import Isolation, Step
from cassiaweir.queues import AdvicePolicy
from cassiaweir.scheduling import InterferenceModel
from cassiaweir.types import Clock

RENEWAL_MARGIN_S = 0.3
"""Added to the time that renewing the tickets of a waiting gang is expected to take.

The new tickets then arrive before the old ones expire.
"""

MAX_ENTRIES_AGE = timedelta(seconds=3)
"""Nothing starts by entries of servers that are older: their rooms may have shrunk."""

FUTURE_CANDIDATES_MAX_AGE_S = 0.1
"""The servers on which a step waits for room are looked up again after this time."""


class Placer:
    """Places waiting tasks on servers.

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
        interference: InterferenceModel,
        confirm_leadership: Callable[[int], bool],
        store_reachable: Callable[[], bool],
        entries_age: Callable[[], timedelta],
        preempt: Callable[[Run, Step], None],
        launch: Callable[[Sequence[Run]], None],
    ) -> None:
        self._jobs = jobs
        self._runs = runs
        self._usage = usage
        self._advice = advice
        self._clock = clock
        self._servers = servers
        self._waiting = WaitingSteps(jobs, clock, gate, crashes)
        self._quarantine = Quarantine()
        self._interference = interference
        self._confirm_leadership = confirm_leadership
        self._store_reachable = store_reachable
        self._entries_age = entries_age
        self._entries_current = True
        self._preempt = preempt
        self._launch = launch
        self._reservations = Reservations()
        self._future: dict[str, tuple[float, list[Candidate]]] = {}

    def place(self) -> None:
        """Start the waiting tasks for which there is room now, in the order of rank."""
        now = self._clock.monotonic()
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
        found = sorted(self._waiting.find(now), key=lambda each: each.rank)
        self._discard_others({each.step.name for each in found})
        self._quarantine.begin_round(
            {each.entry.job.job_id for each in found}, self._servers.values()
        )
        if not found:
            return
        with_room = servers_with_room(usable, [each.step for each in found])
        for waiting in found:
            try:
                self._place_step(waiting, usable, with_room)
            except Exception as exc:
                # An error with one step must not keep all others waiting.
                logger.opt(exception=exc).error(
                    "step_not_placed", step=waiting.step.name
                )

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

    def _discard_others(self, steps: Collection[str]) -> None:
        """Discard the reservations and future candidates of all steps but `steps`."""
        self._reservations.retain(steps)
        for name in self._future.keys() - set(steps):
            del self._future[name]

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
            return
        now = self._clock.monotonic()
        for group in self._quarantine.groups(step, tasks, now):
            if group.isolation is Isolation.ALONE:
                self._set_aside(waiting, len(group.tasks), usable)
            allowed = self._quarantine.usable(step, group.isolation, usable)
            self._place_group(
                waiting,
                group,
                allowed,
                self._quarantine.usable(step, group.isolation, with_room),
                askable=allowed or usable,
            )

    def _set_aside(
        self, waiting: WaitingStep, tasks: int, usable: Sequence[Server]
    ) -> None:
        """Set servers aside for `tasks` suspected tasks, only ones that advice allows.

        Where none is known to be allowed yet, advice about any is asked for first.
        """
        found = find_future_candidates(
            waiting.step, self._available_servers(waiting, usable), tasks
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
        customer = self._jobs.customer_of(waiting.entry.job)
        within_cap = self._usage.count_within_cap(customer, step.demand, len(tasks))
        if within_cap == 0 or (step.spec.gang and within_cap < len(tasks)):
            self._reservations.release(step.name)
            return
        free = self._available_servers(waiting, with_room)
        tickets = None
        if queue.advice is not None:
            tickets = self._advice.tickets(step)
        candidates = with_interference(
            step, find_candidates(step, free, tickets, within_cap), self._interference
        )
        chosen = choose_servers(
            step, candidates, within_cap, emptiest_first=bool(group.isolation)
        )
        missing = within_cap - len(chosen)
        if missing > 0 and queue.advice is not None:
            asked = self._available_servers(waiting, askable) if alone else free
            self._ask(waiting, queue.advice, askable, asked, within_cap, tickets or {})
        if not self._confirm_leadership(waiting.entry.job.version):
            return
        if step.spec.gang and missing > 0:
            if queue.priority > URGENT_PRIORITY and not alone:
                self._reserve(waiting, usable, len(tasks))
            self._preempt_others(waiting, usable, tickets, missing)
            return
        self._reservations.release(step.name)
        self._start(step, group, chosen, tickets or {})
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
        now = self._clock.monotonic()
        available = self._available_servers(waiting, servers)
        preempt_for_step(waiting.step, available, tickets, missing, now, self._preempt)

    def _ask(
        self,
        waiting: WaitingStep,
        policy: AdvicePolicy,
        usable: Sequence[Server],
        servers: Sequence[Server],
        count: int,
        tickets: Mapping[str, str],
    ) -> None:
        """Ask the advice service about servers for `count` tasks of a step.

        `tickets` are the valid tickets of the step.  Servers without a valid answer are
        asked about: first those of `servers` that have room now.  If none has room, or
        too few for a gang, those of `usable` are asked about that will have room, so
        that the answer is there before the room.
        """
        step = waiting.step
        if not self._advice.may_ask(step):
            return
        share = self._advice.allowed_share(waiting.queue.name)
        answered = self._advice.denied(step) | tickets.keys()
        found = exclude_servers(find_candidates(step, servers, None, count), answered)
        found = with_interference(step, found, self._interference)
        found.sort(key=lambda each: preference_key(step, each))
        if step.spec.gang:
            valid = find_candidates(step, servers, tickets, count)
            likely = share * sum(each.slots for each in found)
            if sum(each.slots for each in valid) + likely < count:
                found = self._gang_servers_to_ask(waiting, policy, usable, count)
        elif not found and not tickets:
            found = exclude_servers(
                self._future_candidates(waiting, usable, count), answered
            )
        ids = servers_to_ask(found, count, share)
        urgent = waiting.queue.priority == URGENT_PRIORITY
        rank = waiting.rank.not_urgent * 1e9 + waiting.rank.latest_start
        self._advice.ask(step, policy, ids, rank, urgent=urgent)

    def _gang_servers_to_ask(
        self,
        waiting: WaitingStep,
        policy: AdvicePolicy,
        usable: Sequence[Server],
        count: int,
    ) -> list[Candidate]:
        """Return the servers to ask about for a gang that has too little room now.

        First come the allowed servers whose tickets would expire before they can be
        renewed, so that valid tickets are there once there is room.  Servers without an
        answer follow if the allowed ones have too little room even when idle.
        """
        step = waiting.step
        future = self._future_candidates(waiting, usable, count)
        allowed = self._advice.allowed(step)
        renewal_s = (
            policy.question_s + policy.each_server_s * len(allowed) + RENEWAL_MARGIN_S
        )
        valid = self._advice.tickets(step, renewal_s)
        expiring = [
            each for each in future if each.server.server_id in allowed - valid.keys()
        ]
        room = sum(each.slots for each in future if each.server.server_id in allowed)
        if room >= count * RESERVATION_HEADROOM:
            return expiring
        return expiring + exclude_servers(future, self._advice.denied(step) | allowed)

    def _available_servers(
        self, waiting: WaitingStep, servers: Sequence[Server]
    ) -> list[Server]:
        """Return the servers of the queue's service that a step may use.

        Servers reserved for other steps are left out, except for urgent steps.
        """
        service = waiting.queue.service
        reserved: set[str] = set()
        if waiting.queue.priority != URGENT_PRIORITY:
            reserved = self._reservations.of_others(waiting.step.name)
        return [
            each
            for each in servers
            if each.entry.service == service and each.server_id not in reserved
        ]

    def _future_candidates(
        self, waiting: WaitingStep, usable: Sequence[Server], count: int
    ) -> list[Candidate]:
        """Return the servers with room for the step once other tasks have ended there.

        They are looked up again only after `FUTURE_CANDIDATES_MAX_AGE_S`.  Servers
        reserved for other steps are left out.
        """
        step = waiting.step
        now = self._clock.monotonic()
        looked_at, found = self._future.get(step.name, (-math.inf, []))
        if now - looked_at >= FUTURE_CANDIDATES_MAX_AGE_S:
            found = find_future_candidates(
                step, self._available_servers(waiting, usable), count
            )
            self._future[step.name] = (now, found)
        reserved = self._reservations.of_others(step.name)
        if not reserved:
            return list(found)
        return [each for each in found if each.server.server_id not in reserved]

    def _reserve(
        self, waiting: WaitingStep, servers: Sequence[Server], tasks: int
    ) -> None:
        """Reserve servers for a gang, only allowed ones if it needs advice.

        A gang whose result has no value any more gets a reservation only while no other
        gang has one.
        """
        step = waiting.step
        if self._reservations.includes_any(step.name, servers):
            return
        worthless = waiting.rank.status == DeadlineStatus.WORTHLESS
        if worthless and self._reservations.of_others(step.name):
            return
        candidates = self._future_candidates(waiting, servers, tasks)
        if waiting.queue.advice is not None:
            allowed = self._advice.allowed(step)
            candidates = [
                each for each in candidates if each.server.server_id in allowed
            ]
        self._reservations.reserve(step.name, candidates, tasks, len(servers))

    def _start(
        self,
        step: Step,
        group: TaskGroup,
        chosen: Sequence[Server],
        tickets: Mapping[str, str],
    ) -> None:
        runs: list[Run] = []
        for task, server in zip(group.tasks, chosen, strict=False):
            number = self._runs.next_number(step, task)
            if step.spec.gang and runs:
                number = runs[0].number
            ticket = tickets.get(server.server_id, "")
            runs.append(self._runs.place(task, server, number, ticket, group.isolation))
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
            )
            self._launch(runs)
