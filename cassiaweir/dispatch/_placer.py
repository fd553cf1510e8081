"""Starts waiting tasks: in which order, and where."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from loguru import logger

from cassiaweir.dispatch._advice_cache import AdviceCache
from cassiaweir.dispatch._advice_choice import servers_to_ask, without
from cassiaweir.dispatch._job_registry import JobEntry, JobRegistry
from cassiaweir.dispatch._objective import (
    DeadlineStatus,
    deadline_status,
    remaining_critical_path_s,
)
from cassiaweir.dispatch._placement import (
    Candidate,
    choose_servers,
    find_candidates,
    find_eventual,
    preference,
    with_room,
)
from cassiaweir.dispatch._preemption import choose_victims
from cassiaweir.dispatch._reservations import SPARE, Reservations
from cassiaweir.dispatch._run_registry import RunRegistry
from cassiaweir.dispatch._runs import Run
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._usage import CustomerUsage
from cassiaweir.jobs import Step, Task
from cassiaweir.queues import AdvicePolicy, Queue
from cassiaweir.types import Clock

URGENT_PRIORITY = 0
RENEW_MARGIN_S = 0.3
"""Tickets of a waiting gang are renewed so long before they would be missed."""

EVENTUAL_LOOK_EVERY_S = 0.1
"""How old the list of servers may be on which a step waits for room."""

Rank = tuple[int, int, int, float]


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A step with tasks that could start, and its place in the order."""

    rank: Rank
    entry: JobEntry
    step: Step
    queue: Queue


class Placer:
    """Places waiting tasks; `launch` is called with the runs to be ordered.

    `confirm_leadership` tells whether this process still led after a job was stored.
    A successor may start jobs that are newer than its own lead at once, so a leader
    that was replaced without knowing must not start them.
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
        confirm_leadership: Callable[[int], bool],
        preempt: Callable[[Run, Step], None],
        launch: Callable[[Sequence[Run]], None],
    ) -> None:
        self._jobs = jobs
        self._runs = runs
        self._usage = usage
        self._advice = advice
        self._clock = clock
        self._servers = servers
        self._confirm_leadership = confirm_leadership
        self._preempt = preempt
        self._launch = launch
        self._reservations = Reservations()
        self._looks: dict[str, tuple[float, list[Candidate]]] = {}

    def place(self) -> None:
        """Start what fits now, in order."""
        now = self._clock.monotonic()
        usable = [
            server
            for server in self._servers.values()
            if server.accepts_new_runs(now) and not server.health.suspended(now)
        ]
        found = sorted(self._waiting(now), key=lambda each: each.rank)
        self._forget_all_but({each.step.name for each in found})
        if not found:
            return
        roomy = with_room(usable, [each.step for each in found])
        for waiting in found:
            self._place_step(waiting, usable, roomy)

    def _forget_all_but(self, steps: Collection[str]) -> None:
        self._reservations.keep(steps)
        for name in self._looks.keys() - set(steps):
            del self._looks[name]

    def _waiting(self, now: float) -> list[_Waiting]:
        wall = self._clock.now().timestamp()
        found = []
        for entry in self._jobs.open_jobs():
            if entry.held:
                continue
            queue = self._jobs.queue_of(entry.job)
            for step in entry.job.startable_steps():
                if not _due(step, wall) or not _has_waiting(step):
                    continue
                found.append(
                    _Waiting(_rank(entry, step, queue, now), entry, step, queue)
                )
        return found

    def _place_step(
        self, waiting: _Waiting, usable: Sequence[Server], roomy: Sequence[Server]
    ) -> None:
        """Start what fits of a step; `roomy` are the usable servers with any room."""
        step, queue = waiting.step, waiting.queue
        tasks = step.waiting()
        if step.spec.gang and len(tasks) < len(step.tasks):
            return
        customer = self._jobs.customer_of(waiting.entry.job)
        allowed = self._usage.count_within_cap(customer, step.demand, len(tasks))
        if allowed == 0 or (step.spec.gang and allowed < len(tasks)):
            self._reservations.release(step.name)
            return
        free = self._open_to(waiting, roomy)
        tickets = None
        if queue.advice is not None:
            tickets = self._advice.tickets(step)
        candidates = find_candidates(step, free, tickets, allowed)
        chosen = choose_servers(step, candidates, allowed)
        missing = allowed - len(chosen)
        if missing > 0 and queue.advice is not None:
            self._ask(waiting, queue.advice, usable, free, allowed, tickets or {})
        if not self._confirm_leadership(waiting.entry.job.version):
            return
        if step.spec.gang and missing > 0:
            if queue.priority > URGENT_PRIORITY:
                self._reserve(waiting, usable, len(tasks))
            self._make_room(waiting, usable, tickets, missing)
            return
        self._reservations.release(step.name)
        self._start(step, tasks, chosen, tickets or {})
        self._make_room(waiting, usable, tickets, missing)

    def _make_room(
        self,
        waiting: _Waiting,
        servers: Sequence[Server],
        tickets: Mapping[str, str] | None,
        missing: int,
    ) -> None:
        """Preempt other work for `missing` tasks of an urgent step that is on time."""
        on_time = waiting.rank[0] == int(DeadlineStatus.ON_TIME)
        urgent = waiting.queue.priority == URGENT_PRIORITY
        if missing <= 0 or not urgent or not on_time or waiting.entry.over_share:
            return
        now = self._clock.monotonic()
        of_service = self._open_to(waiting, servers)
        choose_victims(waiting.step, of_service, tickets, missing, now, self._preempt)

    def _ask(
        self,
        waiting: _Waiting,
        policy: AdvicePolicy,
        usable: Sequence[Server],
        servers: Sequence[Server],
        count: int,
        tickets: Mapping[str, str],
    ) -> None:
        """Ask for advice on `servers`, which have room, of which nothing is known.

        Where none has room, the step gets its advice before there is some.
        """
        step = waiting.step
        if not self._advice.may_ask(step):
            return
        share = self._advice.allowed_share(waiting.queue.name)
        known = self._advice.denied(step) | tickets.keys()
        found = without(find_candidates(step, servers, None, count), known)
        found.sort(key=lambda each: preference(step, each))
        if step.spec.gang:
            present = find_candidates(step, servers, tickets, count)
            likely = share * sum(each.slots for each in found)
            if sum(each.slots for each in present) + likely < count:
                found = self._unknown_for_gang(waiting, policy, usable, count)
        elif not found and not tickets:
            found = without(self._eventual(waiting, usable, count), known)
        ids = servers_to_ask(found, count, share)
        urgent = waiting.queue.priority == URGENT_PRIORITY
        rank = waiting.rank[1] * 1e9 + waiting.rank[3]
        self._advice.ask(step, policy, ids, rank, urgent=urgent)

    def _unknown_for_gang(
        self,
        waiting: _Waiting,
        policy: AdvicePolicy,
        usable: Sequence[Server],
        count: int,
    ) -> list[Candidate]:
        """Return the servers to ask about for a gang for which there is no room now.

        Allowed servers come first, in time for tickets to be there when room is; then
        more of them where those that are allowed could not take the gang even empty.
        """
        step = waiting.step
        fleet = self._eventual(waiting, usable, count)
        allowed = self._advice.allowed(step)
        lead_s = (
            policy.question_s + policy.each_server_s * len(allowed) + RENEW_MARGIN_S
        )
        valid = self._advice.tickets(step, lead_s)
        stale = [
            each for each in fleet if each.server.server_id in allowed - valid.keys()
        ]
        room = sum(each.slots for each in fleet if each.server.server_id in allowed)
        if room >= count * SPARE:
            return stale
        return stale + without(fleet, self._advice.denied(step) | allowed)

    def _open_to(self, waiting: _Waiting, servers: Sequence[Server]) -> list[Server]:
        """Return the servers of the queue's service that are not kept for others.

        Urgent steps may use all.
        """
        service = waiting.queue.service
        taken: set[str] = set()
        if waiting.queue.priority != URGENT_PRIORITY:
            taken = self._reservations.of_others(waiting.step.name)
        return [
            each
            for each in servers
            if each.entry.service == service and each.server_id not in taken
        ]

    def _eventual(
        self, waiting: _Waiting, usable: Sequence[Server], count: int
    ) -> list[Candidate]:
        """Return the servers that could take the step if nothing else ran there.

        They are looked up anew only now and then; none that others keep is among them.
        """
        step = waiting.step
        now = self._clock.monotonic()
        looked_at, found = self._looks.get(step.name, (-math.inf, []))
        if now - looked_at >= EVENTUAL_LOOK_EVERY_S:
            found = find_eventual(step, self._open_to(waiting, usable), count)
            self._looks[step.name] = (now, found)
        taken = self._reservations.of_others(step.name)
        if not taken:
            return list(found)
        return [each for each in found if each.server.server_id not in taken]

    def _reserve(
        self, waiting: _Waiting, servers: Sequence[Server], tasks: int
    ) -> None:
        """Keep servers free for a gang, where advice allows it if that is needed.

        One that is worth nothing any more gets some only where no other waits.
        """
        step = waiting.step
        if self._reservations.holds(step.name, servers):
            return
        if waiting.rank[0] == DeadlineStatus.WORTHLESS and self._reservations.of_others(
            step.name
        ):
            return
        eventual = self._eventual(waiting, servers, tasks)
        if waiting.queue.advice is not None:
            allowed = self._advice.allowed(step)
            eventual = [each for each in eventual if each.server.server_id in allowed]
        self._reservations.reserve(step.name, eventual, tasks, len(servers))

    def _start(
        self,
        step: Step,
        tasks: Sequence[Task],
        chosen: Sequence[Server],
        tickets: Mapping[str, str],
    ) -> None:
        runs: list[Run] = []
        for task, server in zip(tasks, chosen, strict=False):
            number = self._runs.next_number(step, task)
            if step.spec.gang and runs:
                number = runs[0].number
            ticket = tickets.get(server.server_id, "")
            runs.append(self._runs.place(task, server, number, ticket))
        if runs:
            logger.info(
                "tasks_placed",
                step=step.name,
                tasks=len(runs),
                run=runs[0].number,
                servers=",".join(sorted({run.server.server_id for run in runs})),
            )
            self._launch(runs)


def _due(step: Step, wall: float) -> bool:
    spec = step.job.spec
    if not spec.times:
        return True
    return wall >= spec.first_at + step.occurrence * spec.interval_s


def _has_waiting(step: Step) -> bool:
    return len(step.placed()) + step.done_count < len(step.tasks)


def _rank(entry: JobEntry, step: Step, queue: Queue, now: float) -> Rank:
    """Return what orders a step: what it can reach, urgency, share, latest start."""
    remaining = remaining_critical_path_s(entry.job, step)
    reach = deadline_status(entry.objective, remaining, now)
    urgent = queue.priority == URGENT_PRIORITY
    latest_start = entry.objective.due_at - remaining
    if reach is not DeadlineStatus.ON_TIME:
        urgent = False
    return (int(reach), int(not urgent), int(entry.over_share), latest_start)
