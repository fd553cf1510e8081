"""Plans where and when waiting gangs start, and reserves these servers for them."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence, Set
from dataclasses import dataclass, replace
from operator import itemgetter

from loguru import logger

from cassiaweir.dispatch._advice_cache import AdviceCache
from cassiaweir.dispatch._advice_choice import exclude_servers, split_servers
from cassiaweir.dispatch._job_errors import JobAction, JobErrors
from cassiaweir.dispatch._job_times import WorkModels
from cassiaweir.dispatch._objective import DeadlineStatus, deadline_status
from cassiaweir.dispatch._placement import (
    Candidate,
    find_candidates,
    future_slots,
    is_avoided,
    preference_key,
)
from cassiaweir.dispatch._reservations import RESERVATION_HEADROOM, Reservations
from cassiaweir.dispatch._runs import Run, RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._waiting_steps import OUT_OF_TURN, WaitingStep
from cassiaweir.jobs import Step
from cassiaweir.queues import AdvicePolicy
from cassiaweir.scheduling import (
    BackfillRoom,
    GangCandidate,
    GangPlan,
    expected_end,
    plan_gang,
    room_at,
    slot_times,
)
from cassiaweir.types import Resources

PLAN_INTERVAL_S = 0.1
"""All gangs are planned again after this time, and a new gang at once."""

RENEWAL_MARGIN_S = 0.3
"""Added to the time that renewing the tickets of a waiting gang is expected to take.

The new tickets then arrive before the old ones expire.
"""

EARLY_START_S = 1.0
"""Tickets are renewed for a gang that may start this much sooner than expected."""

STOP_S = 0.15
"""Time in which a run that was told to stop has usually ended."""

WAIT_GAIN_S = 0.3
"""A gang that could start now waits for faster servers if it ends sooner by this."""

ROOM_TO_ASK = 2.0
"""Advice is asked about servers with room now for this many times the tasks.

Other tasks take some of the room before the answer arrives.
"""

CAPACITY_TO_ASK = 4.0
"""Where there is less room now, about servers for this many times the tasks if idle."""


@dataclass(frozen=True, slots=True)
class WaitingGang:
    """A gang that could start, the servers where it may, and its number of tasks."""

    waiting: WaitingStep
    servers: Sequence[Server]
    tasks: int

    @property
    def step(self) -> Step:
        """The step whose tasks are the gang."""
        return self.waiting.step


class GangPlanner:
    """Plans the start of waiting gangs, in the order of their rank.

    Planned gangs reserve their servers, which other steps may use until the gang is
    expected to start.  Nothing of that is stored.
    """

    def __init__(
        self,
        advice: AdviceCache,
        reservations: Reservations,
        models: WorkModels,
        errors: JobErrors,
    ) -> None:
        self._errors = errors
        self._advice = advice
        self._reservations = reservations
        self._durations = models.steps
        self._speeds = models.speeds
        self._plans: dict[str, GangPlan | None] = {}
        self._allowed_counts: dict[str, int] = {}
        self._next_at = -math.inf
        self._checked_advice: dict[str, tuple[float, int]] = {}
        self._ends: dict[str, list[tuple[float, Resources]]] = {}
        self._by_demand: dict[Resources, dict[str, GangCandidate | None]] = {}
        self._planned_durations: dict[str, float] = {}
        self._last_servers: tuple[Sequence[Server], dict[str, Server]] = ((), {})
        self._too_large: set[tuple[Resources, int]] = set()

    def duration_s(self, step: Step) -> float:
        """Return the expected duration of a task of `step` at speed 1."""
        queue, spec = step.job.spec.queue.name, step.spec
        return self._durations.expected_s(step.name, queue, spec.estimate_s)

    def plan(self, gangs: Sequence[WaitingGang], usable: Set[str], now: float) -> None:
        """Plan the start of `gangs`, given in the order of rank, where that is due.

        `usable` are the servers that may get new runs.  A gang that can be on time, or
        that has waited for so long that it is taken out of turn, is planned before all
        others.  Those hold no servers while one of the former is waiting.
        """
        names = {each.step.name for each in gangs}
        self._reservations.retain(names)
        self._forget_old_checks(now)
        for name in self._plans.keys() - names:
            del self._plans[name]
            self._allowed_counts.pop(name, None)
        if not gangs or not self._is_due(gangs, usable, now):
            return
        self._next_at = now + PLAN_INTERVAL_S
        self._ends.clear()
        self._by_demand.clear()
        self._planned_durations.clear()
        self._too_large.clear()
        held = {each.step.name: self._held_servers(each.step) for each in gangs}
        for each in gangs:
            self._plans[each.step.name] = None
            self._allowed_counts[each.step.name] = len(self._advice.allowed(each.step))
        self._reservations.retain(())
        behind: list[WaitingGang] = []
        on_time: list[WaitingGang] = []

        def plan_first(gang: WaitingGang) -> None:
            planned = self._plan_on_time(gang, held[gang.step.name], now)
            (on_time if planned else behind).append(gang)

        def plan_behind(gang: WaitingGang) -> None:
            name = gang.step.name
            self._plans[name] = None
            worthless = _status(gang, now) is DeadlineStatus.WORTHLESS
            if not (worthless and self._reservations.of_others(name)):
                self._plan_gang(gang, held[name], now)

        def log_new(gang: WaitingGang) -> None:
            if not held[gang.step.name]:
                self._log_reserved(gang.step, now)

        self._visit(gangs, plan_first)
        for gang in behind:
            self._plans[gang.step.name] = None
        self._visit(() if on_time else behind, plan_behind)
        self._visit(gangs, log_new)

    def _held_servers(self, step: Step) -> Collection[str]:
        """Return the servers that are reserved for a gang."""
        reservation = self._reservations.of(step.name)
        return reservation.servers if reservation else frozenset()

    def _visit(
        self, gangs: Iterable[WaitingGang], visit: Callable[[WaitingGang], None]
    ) -> None:
        """Call `visit` for each gang; an error with one keeps no other back."""
        self._errors.visit_each(
            JobAction.PLAN_GANG, gangs, lambda gang: gang.step.job.job_id, visit
        )

    def _forget_old_checks(self, now: float) -> None:
        """Forget when advice was last checked where that is too old to matter."""
        if self._checked_advice:
            self._checked_advice = {
                name: checked
                for name, checked in self._checked_advice.items()
                if now - checked[0] < PLAN_INTERVAL_S
            }

    def _is_due(
        self, gangs: Iterable[WaitingGang], usable: Set[str], now: float
    ) -> bool:
        """Return whether the gangs have to be planned again.

        This is the case after some time, and at once for a gang that is new, has new
        answers of the advice service, or has lost one of its servers.
        """
        if now >= self._next_at:
            return True
        for gang in gangs:
            name = gang.step.name
            if name not in self._plans:
                return True
            if self._allowed_counts.get(name) != len(self._advice.allowed(gang.step)):
                return True
            reservation = self._reservations.of(name)
            if reservation is not None and not reservation.servers <= usable:
                return True
        return False

    def _plan_on_time(
        self, gang: WaitingGang, held: Collection[str], now: float
    ) -> bool:
        """Plan a gang if it can be on time; return whether it can.

        A gang whose start cannot be planned yet counts as able to be on time, and so
        does one that is taken out of turn.
        """
        name = gang.step.name
        if gang.waiting.rank.share == OUT_OF_TURN:
            self._plan_gang(gang, held, now)
            return True
        if _status(gang, now) is not DeadlineStatus.ON_TIME:
            return False
        plan = self._plan_gang(gang, held, now)
        if plan is None:
            return True
        if _status(gang, max(plan.starts_at, now)) is DeadlineStatus.ON_TIME:
            return True
        self._reservations.release(name)
        return False

    def _plan_gang(
        self, gang: WaitingGang, held: Collection[str], now: float
    ) -> GangPlan | None:
        """Plan a gang and reserve servers for it; return the plan if there is one.

        The plan counts only if its servers could be reserved.
        """
        step = gang.step
        self._plans[step.name] = None
        size = (step.demand, gang.tasks)
        if size in self._too_large:
            return None
        servers = self._servers_of(gang)
        found = self._future_candidates(gang, servers, now)
        plan = plan_gang(
            found,
            gang.tasks,
            self.duration_s(step),
            same_rack=step.spec.same_rack,
            held=held,
        )
        if plan is None:
            return None
        chosen = [
            Candidate(servers[server_id], slots)
            for server_id, slots in plan.slots.items()
        ]
        if not step.spec.same_rack:
            chosen += self._headroom(plan, found, servers)

        def room_of(candidate: Candidate) -> BackfillRoom:
            server, at = candidate.server, plan.starts_at
            room = room_at(server.free, self._run_ends(server, now), at)
            return BackfillRoom(at, room - step.demand * candidate.slots)

        if self._reservations.reserve(
            step.name,
            chosen,
            gang.tasks,
            len(gang.servers),
            starts_at=plan.starts_at,
            room_of=room_of,
        ):
            self._plans[step.name] = plan
        else:
            self._too_large.add(size)
        return plan

    def _servers_of(self, gang: WaitingGang) -> Mapping[str, Server]:
        """Return the servers of a gang by id."""
        known, by_id = self._last_servers
        if known is not gang.servers:
            by_id = {each.entry.server_id: each for each in gang.servers}
            self._last_servers = (gang.servers, by_id)
        return by_id

    def _headroom(
        self,
        plan: GangPlan,
        found: Sequence[GangCandidate],
        servers: Mapping[str, Server],
    ) -> list[Candidate]:
        """Return further servers with room at the planned start or soon after."""
        slowest = min(
            (each.speed for each in found if each.server_id in plan.slots), default=0.0
        )
        others = [
            each
            for each in found
            if each.server_id not in plan.slots
            and each.speed >= slowest
            and not each.suspect
        ]
        others.sort(key=lambda each: max(each.slots_at[0], plan.starts_at))
        return [
            Candidate(
                servers[each.server_id],
                max(sum(at <= plan.starts_at for at in each.slots_at), 1),
            )
            for each in others
        ]

    def _future_candidates(
        self, gang: WaitingGang, servers: Mapping[str, Server], now: float
    ) -> list[GangCandidate]:
        """Return the allowed servers with the times from which on they have room.

        A server without a valid ticket has room only once that can be renewed.
        """
        step, queue = gang.step, gang.waiting.queue
        others = self._reservations.of_others(step.name)
        allowed: frozenset[str] | None = None
        tickets: Collection[str] = ()
        if queue.advice is not None:
            allowed = self._advice.allowed(step)
            tickets = self._advice.tickets(step)
            renewed_at = now + _renewal_s(queue.advice, min(len(allowed), gang.tasks))
        alike = not (step.spec.label or step.spec.most_per_server or step.spec.rack)
        known: dict[str, GangCandidate | None] = {}
        if alike and not step.avoided_servers:
            known = self._by_demand.setdefault(step.demand, {})
        found = []
        # Sorted, as the order of a set differs from one process to the next.
        for server_id in sorted(servers if allowed is None else allowed - others):
            server = servers.get(server_id)
            if server is None or server_id in others:
                continue
            if server.entry.service != queue.service:
                continue
            if server_id not in known:
                known[server_id] = self._future_candidate(step, server, now)
            candidate = known[server_id]
            if candidate is None:
                continue
            if allowed is not None and server_id not in tickets:
                times = [max(at, renewed_at) for at in candidate.slots_at]
                candidate = replace(candidate, slots_at=times)
            found.append(candidate)
        return found

    def _future_candidate(
        self, step: Step, server: Server, now: float
    ) -> GangCandidate | None:
        """Return when a server has room for tasks of `step`, None if it never has."""
        limit = future_slots(step, server, len(step.tasks))
        if limit <= 0:
            return None
        ends = self._run_ends(server, now)
        times = slot_times(server.free, ends, step.demand, limit, now)
        return self._candidate(step, server, times) if times else None

    def _candidate(
        self, step: Step, server: Server, slots_at: Sequence[float]
    ) -> GangCandidate:
        return GangCandidate(
            server.server_id,
            slots_at,
            self._speeds.speed(server.server_id),
            server.entry.rack,
            preferred=bool(step.spec.rack) and server.entry.rack == step.spec.rack,
            suspect=bool(
                server.health.failures_since_success
                or server.suspects
                or is_avoided(step, server)
            ),
        )

    def _run_ends(self, server: Server, now: float) -> list[tuple[float, Resources]]:
        """Return when the runs on a server are expected to end, in that order."""
        ends = self._ends.get(server.server_id)
        if ends is None:
            ends = [
                (self._run_end(run, now), run.demand) for run in server.runs.values()
            ]
            ends.sort(key=itemgetter(0))
            self._ends[server.server_id] = ends
        return ends

    def _run_end(self, run: Run, now: float) -> float:
        if run.state is RunState.STOPPING:
            return now + STOP_S
        step = run.task.step
        if step.spec.long_running:
            return math.inf
        duration_s = self._planned_durations.get(step.name)
        if duration_s is None:
            duration_s = self._planned_durations[step.name] = self.duration_s(step)
        return expected_end(
            run.placed_at,
            now,
            duration_s / self._speeds.speed(run.server.entry.server_id),
            run.progress.percent,
            run.progress.changed_at,
        )

    def choose(
        self, step: Step, candidates: Iterable[Candidate], tasks: int, now: float
    ) -> list[Server]:
        """Return a server for each task of a gang, or nothing if it has to wait.

        `candidates` have room now.  A gang with room waits only if it is expected to
        end sooner on the servers that are reserved for it.
        """
        servers = {each.server.server_id: each.server for each in candidates}
        reservation = self._reservations.of(step.name)
        duration_s = self.duration_s(step)
        plan = plan_gang(
            [
                self._candidate(step, each.server, [now] * each.slots)
                for each in candidates
            ],
            tasks,
            duration_s,
            same_rack=step.spec.same_rack,
            held=reservation.servers if reservation else (),
        )
        if plan is None:
            return []
        later = self._plans.get(step.name)
        if (
            later is not None
            and later.starts_at > now
            and later.ends_at < plan.ends_at - WAIT_GAIN_S
        ):
            return []
        return [
            servers[each] for each, slots in plan.slots.items() for _ in range(slots)
        ]

    # Advice.

    def servers_to_ask(
        self,
        waiting: WaitingStep,
        policy: AdvicePolicy,
        servers: Sequence[Server],
        usable: Sequence[Server],
        tasks: int,
        now: float,
    ) -> list[list[str]]:
        """Return the servers to ask the advice service about for a waiting gang.

        Each list is for a question of its own.  Between answers they are looked for
        only once in `PLAN_INTERVAL_S`.  `servers` have room now, `usable` may
        have it later.  Tickets of reserved servers are renewed before they expire, and
        servers without an answer are asked about until the allowed ones have room.
        """
        step = waiting.step
        answers = len(self._advice.allowed(step)) + len(self._advice.denied(step))
        checked_at, known = self._checked_advice.get(step.name, (-math.inf, 0))
        if now - checked_at < PLAN_INTERVAL_S and answers == known:
            return []
        self._checked_advice[step.name] = (now, answers)
        renewals = self._tickets_to_renew(step, policy, servers, tasks, now)
        found = [renewals] if renewals else []
        pending = self._advice.pending(step)
        if pending - self._advice.allowed(step):
            return found
        unknown = self._unknown_servers(waiting, servers, usable, tasks)
        if unknown:
            found += split_servers(unknown, self._advice.idle_lanes())
        return found

    def _tickets_to_renew(
        self,
        step: Step,
        policy: AdvicePolicy,
        servers: Sequence[Server],
        tasks: int,
        now: float,
    ) -> list[str]:
        """Return the servers whose tickets the gang needs soon and has not for long.

        All of them are renewed at once when the first one is about to expire, so that
        they are valid at the same time.
        """
        allowed = self._advice.allowed(step)
        if not allowed:
            return []
        pending = self._advice.pending(step)
        reservation = self._reservations.of(step.name)
        if reservation is not None:
            needed = (allowed & reservation.servers) - pending
            renewal_s = _renewal_s(policy, len(needed))
            if reservation.starts_at - now > renewal_s + EARLY_START_S:
                return []
            valid = self._advice.tickets(step, renewal_s)
            if needed <= valid.keys():
                return []
            lasting = self._advice.tickets(step, policy.valid_s * 0.6)
            return sorted(needed - lasting.keys())
        roomy = [each for each in servers if each.server_id in allowed]
        candidates = find_candidates(step, roomy, None, tasks)
        if sum(each.slots for each in candidates) < tasks:
            return []
        valid = self._advice.tickets(step, 0.0)
        candidates.sort(key=lambda each: preference_key(step, each))
        room = 0
        chosen = []
        for each in candidates:
            if room >= tasks * RESERVATION_HEADROOM:
                break
            room += each.slots
            server_id = each.server.server_id
            if server_id not in valid and server_id not in pending:
                chosen.append(server_id)
        return chosen

    def _unknown_servers(
        self,
        waiting: WaitingStep,
        servers: Sequence[Server],
        usable: Sequence[Server],
        tasks: int,
    ) -> list[str]:
        """Return servers without an answer that likely give the gang enough room.

        First come those with room now, then those that have room for most of its tasks
        once they are idle.
        """
        step = waiting.step
        allowed = self._advice.allowed(step)
        answered = self._advice.denied(step) | allowed
        share = self._advice.allowed_share(waiting.queue.name)
        now_free = find_candidates(step, servers, None, tasks)
        room_now = sum(
            each.slots for each in now_free if each.server.server_id in allowed
        )
        fresh = exclude_servers(now_free, answered)
        fresh.sort(key=lambda each: preference_key(step, each))
        chosen: list[str] = []
        likely = float(room_now)
        for each in fresh:
            if likely >= tasks * ROOM_TO_ASK:
                return chosen
            chosen.append(each.server.server_id)
            likely += each.slots * share
        if room_now >= tasks:
            return chosen
        if likely < tasks:
            chosen = []
        return chosen + self._unknown_later(waiting, usable, tasks, frozenset(chosen))

    def _unknown_later(
        self,
        waiting: WaitingStep,
        usable: Sequence[Server],
        tasks: int,
        chosen: frozenset[str],
    ) -> list[str]:
        """Return servers without an answer that have room once they are idle.

        With the allowed and the `chosen` ones they likely have room for several times
        the `tasks`.
        """
        step = waiting.step
        allowed = self._advice.allowed(step)
        answered = self._advice.denied(step)
        share = self._advice.allowed_share(waiting.queue.name)
        capacity = 0.0
        unknown = []
        for server in usable:
            server_id = server.server_id
            if server.entry.service != waiting.queue.service:
                continue
            if server_id in allowed:
                capacity += future_slots(step, server, tasks)
            elif server_id in chosen:
                capacity += future_slots(step, server, tasks) * share
            elif server_id not in answered:
                unknown.append(server)
        unknown.sort(key=lambda each: -each.free.cpu_millis)
        found = []
        for server in unknown:
            if capacity >= tasks * CAPACITY_TO_ASK:
                break
            slots = future_slots(step, server, tasks)
            if slots > 0:
                found.append(server.server_id)
                capacity += slots * share
        return found

    def _log_reserved(self, step: Step, now: float) -> None:
        reservation, plan = self._reservations.of(step.name), self._plans[step.name]
        if reservation is None or plan is None:
            return
        logger.info(
            "gang_reserved",
            step=step.name,
            servers=len(reservation.servers),
            starts_in_s=round(plan.starts_at - now, 3),
            ends_in_s=round(plan.ends_at - now, 3),
        )


def _status(gang: WaitingGang, starts_at: float) -> DeadlineStatus:
    """Return whether a gang that starts at `starts_at` can be on time."""
    objective, latest_start = (
        gang.waiting.entry.objective,
        gang.waiting.rank.latest_start,
    )
    return deadline_status(objective, objective.due_at - latest_start, starts_at)


def _renewal_s(policy: AdvicePolicy, servers: int) -> float:
    """Return the time before which tickets have to be renewed to be valid in time."""
    return policy.question_s + policy.each_server_s * servers + RENEWAL_MARGIN_S
