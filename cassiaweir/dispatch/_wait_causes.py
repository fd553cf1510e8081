"""Decides what waiting tasks wait for, and logs a summary of it once a second."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from enum import StrEnum

import msgspec
from loguru import logger

from cassiaweir.dispatch._gate import TakeoverGate
from cassiaweir.dispatch._job_registry import JobEntry
from cassiaweir.dispatch._placement import Candidate, find_backfill_candidates
from cassiaweir.dispatch._runs import RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._waiting_steps import (
    URGENT_PRIORITY,
    HeldTasks,
    WaitingStep,
    WaitingSteps,
)
from cassiaweir.jobs import Isolation, Step
from cassiaweir.observe import Metrics
from cassiaweir.types import Clock, Resources

SUMMARY_INTERVAL_S = 1.0

MAX_COST = 0.01
"""The share of a core that the summaries may take.

After an expensive one, the next is logged later than `SUMMARY_INTERVAL_S`.
"""

MAX_NAME_CHARS = 64

MAX_NAMED = 12
"""At most this many queues, and customers, are named in a line.

The others are summed up under the empty name.
"""


class WaitCause(StrEnum):
    """What a waiting task waits for."""

    CAPACITY = "capacity"
    CAP = "cap"
    """Its customer uses all that its cap allows."""
    CAP_TAKEOVER = "cap_takeover"
    """What its customer may have running on servers out of reach takes up the cap."""
    SHARE = "share"
    """The servers are full, and its job is beyond its customer's share."""
    ADVICE = "advice"
    """There is room, but only on servers without a valid ticket."""
    TAKEOVER = "takeover"
    """It, or the only room, is held until servers have answered the new leader."""
    RESERVED = "reserved"
    """The only room is kept for gangs."""
    STORE = "store"
    """Its start, or what has to be known for it, is not stored yet."""
    LOSSES = "losses"
    """Its servers were lost too often while it ran there, and may have crashed."""
    EVACUATION = "evacuation"
    """The only room is in domains that are evacuated or were given back lately."""
    ERROR = "error"
    """Its job cannot be ranked; see `job_error` in the log."""
    ORDER = "order"
    """There is room, which the order of work or the rules of choice withhold."""


WITHHOLDING = (
    WaitCause.ORDER,
    WaitCause.RESERVED,
    WaitCause.STORE,
    WaitCause.TAKEOVER,
    WaitCause.EVACUATION,
)
"""The causes that withhold capacity, in the order in which tasks are counted."""


CountsByCause = dict[WaitCause, int]


class _Room:
    """What one cause withholds of the capacity that is left on some servers.

    Tasks are counted against it, so that a little room does not explain the waiting of
    many tasks.
    """

    def __init__(self) -> None:
        self._free: dict[str, tuple[Server, Resources]] = {}
        self._most_cpu_millis = -1

    def add(self, server: Server) -> None:
        """Add the free capacity of `server`."""
        self._free[server.server_id] = (server, server.free)
        self._most_cpu_millis = max(self._most_cpu_millis, server.free.cpu_millis)

    def take(self, step: Step, count: int) -> int:
        """Take room for up to `count` tasks of `step`; return for how many there was.

        A gang takes room for all or for none.
        """
        if self._most_cpu_millis < step.demand.cpu_millis:
            return 0
        found = self._find(step, count)
        taken = sum(each.slots for each in found)
        if step.spec.gang and taken < count:
            return 0
        for each in found:
            server, free = self._free[each.server.server_id]
            for _ in range(each.slots):
                free = free - step.demand
            self._free[server.server_id] = (server, free)
        return taken

    def _find(self, step: Step, count: int) -> list[Candidate]:
        """Return servers with room for up to `count` tasks in total."""
        found: list[Candidate] = []
        most = -1
        for pair in self._free.values():
            cpu_millis = pair[1].cpu_millis
            most = max(most, cpu_millis)
            if cpu_millis < step.demand.cpu_millis:
                continue
            for each in find_backfill_candidates(step, [pair], None, count):
                found.append(each)
                count -= each.slots
            if count == 0:
                return found
        # All servers were looked at, so that smaller steps need not do so again.
        self._most_cpu_millis = most
        return found


@dataclass(frozen=True, slots=True)
class _Missing:
    """Tasks of a step for which a round found no server.

    `with_ticket` means that there was enough room on servers that the step may use.
    """

    waiting: WaitingStep
    tasks: int
    isolated: bool
    with_ticket: bool


class WaitSummary:
    """Collects why the tasks of one leader's term wait, and logs it once a second.

    Only the rounds after which a line is due are looked at.  The causes are decided at
    the end of the round, by the capacity that it left.  Tasks that were placed and
    whose start is not recorded yet count as waiting for the store.
    """

    def __init__(
        self,
        steps: WaitingSteps,
        gate: TakeoverGate,
        servers: Mapping[str, Server],
        clock: Clock,
        *,
        store_reachable: Callable[[], bool],
        reserved: Callable[[], Collection[str]],
        metrics: Metrics,
    ) -> None:
        self._steps = steps
        self._metrics = metrics
        self._servers = servers
        self._gate = gate
        self._clock = clock
        self._store_reachable = store_reachable
        self._reserved = reserved
        self._due_at = -math.inf
        self._due = False
        self._cost_s = 0.0
        self._usable: Collection[str] = ()
        self._entries_current = True
        self._now = 0.0
        self._missing: list[_Missing] = []
        self._queues: dict[str, CountsByCause] = {}
        self._customers: dict[str, CountsByCause] = {}
        self._last: tuple[int, int] | None = None

    @property
    def due(self) -> bool:
        """Whether a line is due after this round, so that causes are to be noted."""
        return self._due

    def begin_round(
        self, usable: Iterable[Server], now: float, *, entries_current: bool
    ) -> None:
        """Begin a placement round on the `usable` servers."""
        self._due = now >= self._due_at
        if not self._due:
            return
        self._usable = {each.server_id for each in usable}
        self._entries_current = entries_current
        self._now = now
        self._missing.clear()
        self._queues = {}
        self._customers = {}

    @contextmanager
    def muted(self) -> Iterator[None]:
        """Note nothing in the block: its steps are looked at by the round as well."""
        due, self._due = self._due, False
        try:
            yield
        finally:
            self._due = due

    def note(self, waiting: WaitingStep, cause: WaitCause, tasks: int) -> None:
        """Note that `tasks` of a step wait for `cause`."""
        if not self._due or tasks <= 0:
            return
        customer = waiting.entry.job.spec.customer
        self._count(waiting.queue.name, customer, cause, tasks)

    def note_incomplete(self, waiting: WaitingStep, tasks: int) -> None:
        """Note that `tasks` of a gang wait until its other tasks may start as well.

        Those are held back, or runs of theirs still take room on servers.
        """
        if self._due:
            cause = WaitCause.CAPACITY
            if waiting.step.waiting_count > tasks:
                cause = self._held_cause(waiting.entry)
            self.note(waiting, cause, tasks)

    def note_missing(
        self,
        waiting: WaitingStep,
        tasks: int,
        isolation: Isolation,
        candidates: Sequence[Candidate],
    ) -> None:
        """Note that no server was found for `tasks` of a step among `candidates`."""
        if not self._due or tasks <= 0:
            return
        # Other steps than gangs use up all candidates.
        with_ticket = (
            waiting.step.spec.gang and sum(each.slots for each in candidates) >= tasks
        )
        self._missing.append(_Missing(waiting, tasks, bool(isolation), with_ticket))

    def _count(self, queue: str, customer: str, cause: WaitCause, tasks: int) -> None:
        for table, name in ((self._queues, queue), (self._customers, customer)):
            counts = table.setdefault(name, {})
            counts[cause] = counts.get(cause, 0) + tasks

    def end_round(self) -> None:
        """Log the summary if it is due; to be called after each round."""
        if not self._due:
            return
        began = self._clock.monotonic()
        try:
            self._assign_missing()
            self._count_held()
            self._count_unrecorded()
            self._count_by_cause()
            self._log()
        except Exception as exc:
            # Tasks are placed whether or not the summary can be made.
            logger.opt(exception=exc).error("waits_not_summed_up")
        self._due = False
        cost_s = self._clock.monotonic() - began
        self._due_at = self._now + max(SUMMARY_INTERVAL_S, cost_s / MAX_COST)

    def _assign_missing(self) -> None:
        """Decide the causes of the tasks that found no server, in order of rank."""
        rooms: dict[tuple[str, WaitCause], _Room] = {}
        if self._missing:
            rooms = self._rooms()
        for each in self._missing:
            left = each.tasks
            if not each.isolated:
                for cause, tasks in self._withheld(each, rooms):
                    self.note(each.waiting, cause, tasks)
                    left -= tasks
            self.note(each.waiting, self._cause_without_room(each.waiting), left)

    def _cause_without_room(self, waiting: WaitingStep) -> WaitCause:
        if not self._entries_current:
            return WaitCause.STORE
        over_share = waiting.entry.over_share
        return WaitCause.SHARE if over_share else WaitCause.CAPACITY

    def _rooms(self) -> dict[tuple[str, WaitCause], _Room]:
        """Return the capacity left by service and by the cause that withholds it."""
        rooms: dict[tuple[str, WaitCause], _Room] = {}
        reserved = self._reserved()
        may_record = self._store_reachable()
        for server in self._servers.values():
            cause = self._cause_of(server, reserved, may_record)
            if cause is not None:
                key = (server.entry.service, cause)
                rooms.setdefault(key, _Room()).add(server)
        return rooms

    def _cause_of(
        self, server: Server, reserved: Collection[str], may_record: bool
    ) -> WaitCause | None:
        """Return what withholds the free capacity of a server, None if it is unusable.

        It is `ORDER` for a server that could be used.
        """
        if server.server_id in self._usable:
            is_reserved = server.server_id in reserved
            return WaitCause.RESERVED if is_reserved else WaitCause.ORDER
        if not server.reachable or server.entry.draining or server.ended:
            return None
        if not server.fenced:
            return WaitCause.TAKEOVER
        if not (server.recorded and self._entries_current):
            return WaitCause.STORE
        if not server.accepts_new_runs(self._now) or server.health.suspended(self._now):
            return None
        if server.restricted and not may_record:
            return WaitCause.STORE
        return WaitCause.EVACUATION

    def _withheld(
        self, missing: _Missing, rooms: Mapping[tuple[str, WaitCause], _Room]
    ) -> Iterator[tuple[WaitCause, int]]:
        """Yield for how many of the tasks each cause withholds room."""
        waiting, left = missing.waiting, missing.tasks
        for cause in WITHHOLDING:
            room = rooms.get((waiting.queue.service, cause))
            if room is None or not left:
                continue
            tasks = room.take(waiting.step, left)
            if not tasks:
                continue
            left -= tasks
            usable = cause is WaitCause.ORDER or (
                cause is WaitCause.RESERVED
                and waiting.queue.priority == URGENT_PRIORITY
            )
            if usable:
                needs_ticket = waiting.queue.advice and not missing.with_ticket
                cause = WaitCause.ADVICE if needs_ticket else WaitCause.ORDER
            yield cause, tasks

    def _held_cause(self, entry: JobEntry) -> WaitCause:
        """Return why tasks of a job may not be started yet."""
        if entry.held and not self._gate.is_open:
            return WaitCause.TAKEOVER
        history = entry.job.crashes
        withheld = any(history.withholds(task) for task in history.suspects(""))
        return WaitCause.LOSSES if withheld else WaitCause.STORE

    def _count_held(self) -> None:
        for held in self._steps.held_tasks():
            self._count_tasks(held, self._held_cause(held.entry))
        for held in self._steps.unranked_tasks():
            self._count_tasks(held, WaitCause.ERROR)

    def _count_tasks(self, held: HeldTasks, cause: WaitCause) -> None:
        customer = held.entry.job.spec.customer
        self._count(held.queue, customer, cause, held.tasks)

    def _count_unrecorded(self) -> None:
        """Count tasks that earlier rounds placed and whose starts are not recorded."""
        for server in self._servers.values():
            for run in server.runs.values():
                if run.sent_at is not None or run.state is not RunState.STARTING:
                    continue
                if run.placed_at < self._now:
                    spec = run.task.step.job.spec
                    self._count(spec.queue.name, spec.customer, WaitCause.STORE, 1)

    def _count_by_cause(self) -> None:
        """Add the waiting tasks to the metric of each cause, once a summary."""
        causes: Counter[WaitCause] = Counter()
        for counts in self._queues.values():
            causes.update(counts)
        for cause, tasks in causes.items():
            self._metrics.count("tasks_waiting", tasks, cause=cause.value)

    def _log(self) -> None:
        """Log the counts, unless nothing waits and nothing else has changed."""
        servers = self._servers.values()
        used = sum(each.used.cpu_millis for each in servers)
        total = sum(each.entry.capacity.cpu_millis for each in servers)
        tasks = sum(sum(counts.values()) for counts in self._queues.values())
        if not tasks and self._last == (used, total):
            return
        self._last = None if tasks else (used, total)
        logger.info(
            "tasks_waiting",
            tasks=tasks,
            cpu_used=used,
            cpu_total=total,
            queues=encode_counts(self._queues),
            customers=encode_counts(self._customers),
        )


def encode_counts(table: Mapping[str, CountsByCause]) -> str:
    """Return the counts as JSON, summing up all but the `MAX_NAMED` largest rows."""
    totals = Counter({name: sum(counts.values()) for name, counts in table.items()})
    named = {name for name, _ in totals.most_common(MAX_NAMED)}
    found: dict[str, Counter[str]] = {}
    for name, counts in table.items():
        key = name[:MAX_NAME_CHARS] if name in named else ""
        found.setdefault(key, Counter()).update(counts)
    return msgspec.json.encode(found, order="sorted").decode()
