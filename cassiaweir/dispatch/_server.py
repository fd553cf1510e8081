"""The leader's view of one backend server: capacity, runs, lease, health and speed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cassiaweir.dispatch._call_fence import LATE_CALL_S, CallFence
from cassiaweir.dispatch._health import ServerHealth
from cassiaweir.dispatch._leases import SUSPECT_LEASE_S, ServerLeases
from cassiaweir.dispatch._runs import Run, RunKey
from cassiaweir.dispatch._server_entry import ServerEntry, ServerReport
from cassiaweir.jobs import Isolation
from cassiaweir.types import NO_RESOURCES, Resources

MISSING_GRACE_S = 2.2
"""Time within which entries that vanished in an outage of the store are back."""

MAX_STOPPED_CHECKS = 8
"""Runs of tasks that last are stopped up to this often to check numbers of ends."""

MAX_REPORT_AGE_S = 3.0
"""A server gets new runs only if its last report is newer than this."""

MAX_REPORT_AGE_AT_START_S = 1.5
"""A start is not sent if the server's last report is older than this by then.

Reports arrive more often while the server answers and this process is not paused.
"""


def lifetime_name(server_id: str, born: int) -> str:
    """Return the name of a server's lifetime, which is unique."""
    return f"{server_id}@{born}"


@dataclass(frozen=True, slots=True)
class FailedEnd:
    """A listed end that could not be applied since then, and its run if it is known."""

    run: Run | None
    since: float


class Server:
    """A backend server as the leader knows it.

    All times are seconds on the leader's clock, except those in milliseconds, which are
    on the server's clock.  The resources of a run are counted from before its order is
    sent until a report shows that it has ended.

    `free` is the capacity that is left for new runs, negative after the capacity
    shrank.  It is stored because it is read far more often than it changes.  `fence` is
    that of the calls to it.  `recorded` means that its row for a successor is stored as
    it must be for new runs, `recording` that it is being stored; `restricted` that this
    row must name each task before its start; `reachable` that no poll or start has gone
    unanswered since its last report; `ended` that another lifetime, under another id,
    answers at its address.  `missing_since` is the time at which its entry
    vanished, None while the entry exists.  `applied` is the number of the last end in
    its lifetime that this leader has applied, `acknowledged` that of the last one that
    the server may forget.  `settled` means that a report has listed all that a former
    leader started there.  `orphan_runs` are runs
    that the server lists although their tasks belong to no known job; how much of the
    capacity they take is unknown.  `orphan_stops` are those of them of which an order
    to stop is under way.  `born` is the lifetime that the last report came
    from, or that of the entry before the first report.  `late_starts` are runs of which
    a start got no answer and may still be carried out, though they are not expected any
    more: they were given up, or belong to an earlier lifetime.  The server gets no new
    runs before it was told to stop them.  `cold` means that it is slow after its start.
    `suspects` are the runs of tasks that may crash the server, until they have run for
    long enough.  `unstored_ends` are tasks that ended here, with the position of the
    write that stores the end, and `failed_ends` those that could not be applied yet, by
    number.  `relative_speed` is that of `ServerSpeeds`, 1.0 while
    unknown.  `forgets_ends` means that its lifetime may forget ends unread, as ends of
    a former one may have been acknowledged to it: runs there are to lapse at once, to
    see whether their ends are listed.  `began_in_term` means that no other leader has
    called its lifetime.  `doubted_at` is when a report first came from a lifetime that
    may forget ends.  `kinds` holds the number of counted runs of each kind of task,
    and `kind_added_at` when a run last got another kind beside it.
    """

    def __init__(
        self,
        entry: ServerEntry,
        *,
        restricted: bool = False,
        longest_lease_s: float = SUSPECT_LEASE_S,
        fence: CallFence | None = None,
    ) -> None:
        self.fence = fence or CallFence()
        self._entry = entry
        self._draining_born = entry.born if entry.draining else None
        self.restricted = restricted
        self._used = NO_RESOURCES
        self.free = entry.capacity
        self.runs: dict[RunKey, Run] = {}
        self.suspects: dict[RunKey, Run] = {}
        self.kinds: dict[str, int] = {}
        self.kind_added_at = 0.0
        self.health = ServerHealth()
        self.relative_speed = 1.0
        self._forgets_ends = False
        self._stopped_checks = 0
        self.doubted_at = float("inf")
        self.began_in_term = False
        self.recorded = False
        self.recording = False
        self.reachable = True
        self.ended = False
        self.cold = False
        self.missing_since: float | None = None
        self.settled = False
        self.applied = 0
        self.acknowledged = 0
        self.orphan_runs: frozenset[RunKey] = frozenset()
        self.orphan_stops: set[RunKey] = set()
        self.late_starts: set[RunKey] = set()
        self.unstored_ends: dict[str, int] = {}
        self.failed_ends: dict[int, FailedEnd] = {}
        self._unanswered_starts: dict[RunKey, float] = {}
        self._lost_starts: set[RunKey] = set()
        self.born = entry.born
        self.leases = ServerLeases(longest_lease_s)
        self._isolated_runs = 0

    @property
    def forgets_ends(self) -> bool:
        """Whether the present lifetime may forget ends unread."""
        return self._forgets_ends

    @forgets_ends.setter
    def forgets_ends(self, forgets: bool) -> None:
        self._forgets_ends = forgets
        self.fence.note_forgetful(self.born, forgets=forgets)

    @property
    def server_id(self) -> str:
        """The id under which the server registered."""
        return self.entry.server_id

    @property
    def entry(self) -> ServerEntry:
        """The newest entry that the server registered."""
        return self._entry

    @entry.setter
    def entry(self, entry: ServerEntry) -> None:
        self._entry = entry
        if entry.draining:
            self._draining_born = entry.born
        elif self._draining_born == entry.born:
            self._draining_born = None
        self.free = entry.capacity - self._used

    @property
    def entry_is_current(self) -> bool:
        """Whether the entry describes the lifetime that the last report came from.

        The next lifetime of a server may have less capacity, and only its entry tells.
        """
        return self._entry.born == self.born

    @property
    def is_draining(self) -> bool:
        """Whether the reporting lifetime has said that it will leave."""
        return self._draining_born == self.born

    @property
    def lifetime(self) -> str:
        """The name of the lifetime that the last report came from."""
        return lifetime_name(self.server_id, self.born)

    @property
    def isolated_job(self) -> str:
        """The id of the job that has the server for itself, empty if none has."""
        for run in self.suspects.values():
            if run.isolation is Isolation.ALONE:
                return run.job_id
        return ""

    def hosts_only(self, job_id: str) -> bool:
        """Return whether all counted runs belong to one job."""
        return all(run.job_id == job_id for run in self.runs.values())

    @property
    def fenced(self) -> bool:
        """Whether the present lifetime refuses all calls that it may get late.

        These are the calls of earlier leaders, and those to former lifetimes.
        """
        return self.fence.confirmed

    @property
    def has_reported(self) -> bool:
        """Whether the present lifetime has reported to this leader."""
        return self.leases.clock_known

    @property
    def reported_at(self) -> float:
        """When the last report arrived, 0.0 before the first one."""
        return self.leases.clock_read_at

    @property
    def used(self) -> Resources:
        """The resources that the counted runs take."""
        return self._used

    @used.setter
    def used(self, used: Resources) -> None:
        self._used = used
        self.free = self._entry.capacity - used

    @property
    def load_text(self) -> str:
        """CPU and memory that the counted runs take and the entry gives, for logs."""
        used, capacity = self._used, self._entry.capacity
        cpu = f"{used.cpu_millis}/{capacity.cpu_millis}"
        return f"{cpu}:{used.memory_mb}/{capacity.memory_mb}"

    def add(self, run: Run) -> None:
        """Count `run` against the capacity."""
        self.runs[run.key] = run
        kind = run.task.step.kind
        count = self.kinds[kind] = self.kinds.get(kind, 0) + 1
        # A second run is new company for the first one of its kind.
        if count <= 2:
            self.kind_added_at = run.placed_at
        if run.isolation:
            self.suspects[run.key] = run
            self._isolated_runs += 1
        self.used = self.used + run.demand

    def remove(self, key: RunKey) -> Run | None:
        """Stop counting a run; return it, or None if it was not counted."""
        run = self.runs.pop(key, None)
        self.suspects.pop(key, None)
        if run is not None:
            self._isolated_runs -= bool(run.isolation)
            self.used = self.used - run.demand
            kind = run.task.step.kind
            self.kinds[kind] -= 1
            if not self.kinds[kind]:
                del self.kinds[kind]
        return run

    def task_names(self) -> list[str]:
        """Return the tasks that may run here or whose ends here are not stored yet."""
        return [*(run.task.name for run in self.runs.values()), *self.unstored_ends]

    def forget_stored_ends(self, is_stored: Callable[[int], bool]) -> None:
        """Forget the ends that are stored, given whether a position is."""
        self.unstored_ends = {
            task: position
            for task, position in self.unstored_ends.items()
            if not is_stored(position)
        }

    def count_of_step(self, step_name: str) -> int:
        """Return how many counted runs belong to the step named `step_name`."""
        return sum(run.task.step.name == step_name for run in self.runs.values())

    def accepts_new_runs(self, now: float) -> bool:
        """Return whether new runs may be started on the server.

        `ServerHealth.suspended` may still advise against it.
        """
        if not (self.fenced and self.recorded and self.reachable):
            return False
        if self.entry.draining or not self.leases.clock_known:
            return False
        if not self.entry_is_current:
            return False
        if self.orphan_runs or self.late_starts:
            return False
        missing = self.missing_since
        if missing is not None and now - missing > MISSING_GRACE_S:
            return False
        return now - self.reported_at < MAX_REPORT_AGE_S

    @property
    def checking(self) -> bool:
        """Whether runs that check the numbers of its ends are counted here.

        Once the numbers are known, they are runs like any other.
        """
        return self.forgets_ends and any(
            run.checks_numbers for run in self.runs.values()
        )

    @property
    def avoids_leases(self) -> bool:
        """Whether its lease is not renewed, as it may forget ends of runs unread.

        Runs whose ends may be unread, and those that a former leader started, keep it.
        """
        return self.forgets_ends and all(
            run.checks_numbers for run in self.runs.values()
        )

    def take_stopped_check(self, run: Run) -> bool:
        """Return whether a run that has just started is to be stopped as a check.

        That may be any that keeps a lease and of which no end has to be known, but only
        a few times: it may take as many checks as ends were acknowledged.
        """
        if not self.forgets_ends or run.checks_numbers or run.isolation:
            return False
        self._stopped_checks += 1
        return self._stopped_checks <= MAX_STOPPED_CHECKS

    def checks_numbers_now(self, now: float) -> bool:
        """Return whether runs that check the numbers are started here just now."""
        late = self.leases.brief_was_late(now)
        return self.forgets_ends and (late or self.checking)

    def may_check_numbers(self, now: float) -> bool:
        """Return whether a run that is started now lapses before it can be done."""
        return self.avoids_leases and self.leases.only_brief(now)

    def record_unanswered_start(self, run: Run, now: float) -> None:
        """Remember that a start of `run` may be carried out late."""
        self._drop_old_unanswered()
        self._unanswered_starts[run.key] = now

    def record_lost_start(self, key: RunKey) -> None:
        """Remember that a run was given up of which a start may be carried out late."""
        if key in self._unanswered_starts:
            self._lost_starts.add(key)

    def may_start_late(self, key: RunKey, now: float) -> bool:
        """Return whether the server may carry out a start of a run late.

        Its next lifetime may, even after the leases of the present one have expired.
        """
        sent_at = self._unanswered_starts.get(key)
        return sent_at is not None and now - sent_at < LATE_CALL_S

    def expect_late_starts(self) -> frozenset[RunKey]:
        """Add the starts that were lost since the last report to `late_starts`.

        Return those that were added.
        """
        self._drop_old_unanswered()
        found = frozenset(self._lost_starts & self._unanswered_starts.keys())
        self._lost_starts.clear()
        self.late_starts |= found
        return found

    def _drop_old_unanswered(self) -> None:
        """Forget the starts that only the lifetime of the last report may have got."""
        self._unanswered_starts = {
            key: sent_at
            for key, sent_at in self._unanswered_starts.items()
            if self.reported_at - sent_at < LATE_CALL_S
        }

    def reported_recently(self, now: float) -> bool:
        """Return whether the last report is new enough to send a start."""
        return now - self.reported_at < MAX_REPORT_AGE_AT_START_S

    def expects_answer(self, now: float) -> bool:
        """Return whether a first start sent now is likely to be answered."""
        return self.reachable and self.reported_recently(now)

    def update_from_report(
        self,
        report: ServerReport,
        now: float,
        asked_at: float | None = None,
        fence: int | None = None,
    ) -> None:
        """Read the server's clock from a report and mark the server as reachable.

        The report was requested at `asked_at` with `fence`, now if these are None.
        """
        self.fence.note_answered(self.fence.value if fence is None else fence)
        self.fence.reported_at = now
        if self.forgets_ends:
            self.doubted_at = min(self.doubted_at, now)
        self.leases.read_clock(
            report.clock_ms,
            now if asked_at is None else asked_at,
            now,
            fenced=self.fenced,
        )
        self.reachable = True

    def begin_lifetime(self, born: int) -> None:
        """Reset what belongs to an earlier lifetime of the server.

        Calls that were in transit may have reached the new lifetime.  A run of which
        a start got no answer is counted until the new lifetime was told to stop it.
        """
        self._drop_old_unanswered()
        self._lost_starts = set(self._unanswered_starts)
        self.late_starts.clear()
        self.born = born
        self.forgets_ends = self._may_forget_ends(self.reported_at)
        self.doubted_at = float("inf")
        self._stopped_checks = 0
        self.began_in_term = self.has_reported
        self.leases.begin_lifetime()
        self.fence.begin_lifetime()
        self.recorded = False
        self.failed_ends.clear()
        self.applied = 0
        self.acknowledged = 0
        self.orphan_runs = frozenset()
        self.health = ServerHealth()
        self.relative_speed = 1.0
        for key, run in self.runs.items():
            run.until_ms = None
            if key in self._lost_starts:
                run.answered_at = None

    def expect_calls_to_former_lifetimes(self) -> None:
        """Expect late calls that were sent before the server was removed and back."""
        self.fence.begin_lifetime()
        self.leases.expect_inherited()
        self.forgets_ends = self._may_forget_ends(self.fence.reported_at)

    def _may_forget_ends(self, reported_at: float) -> bool:
        """Return whether the lifetime that begins now may forget ends unread.

        The former one last reported at `reported_at`.  It is known already of one that
        was removed and is back.
        """
        in_doubt = self.fence.acknowledgement_in_doubt(reported_at)
        return in_doubt or self.fence.is_forgetful(self.born)

    @property
    def is_observed(self) -> bool:
        """Whether suspected tasks were started here, with long leases."""
        may_give = self.leases.allow_long and not self.leases.long_suspended
        return may_give and self._isolated_runs > 0

    def may_shorten_leases(self, now: float) -> bool:
        """Return whether its row allows long leases of which none is in force."""
        unused = not self._isolated_runs and self.leases.long_ones_expired(now)
        return self.leases.allow_long and self.settled and unused

    def next_lease_end_ms(self, now: float) -> int | None:
        """Return the end, on the server's clock, of a lease that is given now.

        Return None until a report has shown the server's clock.
        """
        return self.leases.next_end_ms(now, observed=self.is_observed)

    def start_lease_end_ms(self, now: float) -> int | None:
        """Return the end, on the server's clock, of the lease of a start sent now.

        Return None until a report has shown the server's clock.
        """
        return self.leases.start_end_ms(now, observed=self.is_observed)

    def leases_expired(self, now: float) -> bool:
        """Return whether all leases given in this lifetime have certainly expired."""
        return self.leases.expired(now)
