"""The leader's book on one backend server: capacity, lease and soundness."""

from __future__ import annotations

from cassiaweir.dispatch._health import ServerHealth
from cassiaweir.dispatch._runs import Run, RunKey
from cassiaweir.dispatch._server_entry import ServerEntry, ServerReport
from cassiaweir.dispatch._speed import ServerSpeed
from cassiaweir.types import NOTHING, Resources

LEASE_S = 3.0
"""Seconds that runs go on without hearing from a leader."""

SHORTEST_START_LEASE_S = 1.5
"""A start gets at least this lease; the next report extends it."""

LONGEST_LEASE_MS = 10_000
"""Servers shorten a lease to what their site allows, which is no more than this."""

SLOWEST_CLOCK = 0.98
"""A server's clock may run slower than ours by this factor."""

LAPSE_MARGIN_S = 0.1
MISSING_GRACE_S = 2.2
"""An entry that vanished with an outage of the store is back within this time."""

LONGEST_REPORT_AGE_S = 3.0
MILLISECONDS = 1_000


class Server:
    """A backend server as the leader knows it.

    All times are seconds on the leader's clock.  What a run takes is counted from
    before its order is sent until its end is listed.  `free` is what can still be
    placed, negative where the capacity shrank; it is read far more often than changed.
    `orphan_runs` are listed runs of jobs that are not known, whose share of the
    capacity cannot be told.
    """

    def __init__(self, entry: ServerEntry) -> None:
        self._entry = entry
        self._used = NOTHING
        self.free = entry.capacity
        self.runs: dict[RunKey, Run] = {}
        self.health = ServerHealth()
        self.speed = ServerSpeed()
        self.fenced = False
        self.recorded = False
        self.reachable = True
        self.missing_since: float | None = None
        self.acknowledged = 0
        self.orphan_runs: frozenset[RunKey] = frozenset()
        self.born = entry.born
        self._clock_ms: int | None = None
        self._clock_read_at = 0.0
        self._longest_until_ms = 0
        self._inherits_runs = False
        self._inherited_until_ms = 0

    @property
    def server_id(self) -> str:
        """The id under which the server registered."""
        return self.entry.server_id

    @property
    def entry(self) -> ServerEntry:
        """What the server last said of itself."""
        return self._entry

    @entry.setter
    def entry(self, entry: ServerEntry) -> None:
        self._entry = entry
        self.free = entry.capacity - self._used

    @property
    def used(self) -> Resources:
        """What the counted runs take."""
        return self._used

    @used.setter
    def used(self, used: Resources) -> None:
        self._used = used
        self.free = self._entry.capacity - used

    def add(self, run: Run) -> None:
        """Count `run` against the capacity."""
        self.runs[run.key] = run
        self.used = self.used + run.demand

    def remove(self, key: RunKey) -> Run | None:
        """Stop counting a run; return it, or None where it was not counted."""
        run = self.runs.pop(key, None)
        if run is not None:
            self.used = self.used - run.demand
        return run

    def count_of_step(self, step_name: str) -> int:
        """Return how many runs belong to the step called `step_name`."""
        return sum(run.task.step.name == step_name for run in self.runs.values())

    def accepts_new_runs(self, now: float) -> bool:
        """Tell whether new runs may be started here."""
        if not (self.fenced and self.recorded and self.reachable):
            return False
        if self.entry.draining or self._clock_ms is None:
            return False
        if self.orphan_runs:
            return False
        missing = self.missing_since
        if missing is not None and now - missing > MISSING_GRACE_S:
            return False
        return now - self._clock_read_at < LONGEST_REPORT_AGE_S

    def update_from_report(self, report: ServerReport, now: float) -> None:
        """Take the server's clock from a report."""
        self._clock_ms = report.clock_ms
        if self._inherits_runs:
            self._inherited_until_ms = report.clock_ms + LONGEST_LEASE_MS
            self._inherits_runs = False
        self._clock_read_at = now
        self.reachable = True

    def begin_lifetime(self, born: int) -> None:
        """Forget what belongs to an earlier lifetime of the server.

        A start that was on its way may have reached the new lifetime, whose clock began
        anew, so that its lease is as long as the server allows.
        """
        self._inherits_runs = bool(self.runs)
        self._inherited_until_ms = 0
        self.born = born
        self.acknowledged = 0
        self.orphan_runs = frozenset()
        self._clock_ms = None
        self._longest_until_ms = 0
        self.health = ServerHealth()
        self.speed = ServerSpeed()
        for run in self.runs.values():
            run.until_ms = None

    def next_lease_end_ms(self, now: float) -> int | None:
        """Return until when a lease given now lasts on the server's clock.

        None until the server's clock is known.
        """
        if self._clock_ms is None:
            return None
        elapsed_s = now - self._clock_read_at
        until = self._clock_ms + round((elapsed_s + LEASE_S) * MILLISECONDS)
        self._longest_until_ms = max(self._longest_until_ms, until)
        return until

    def start_lease_end_ms(self, now: float) -> int | None:
        """Return the lease of a start given now.

        It is the lease given last, where enough of that is left, so that starts alone
        do not prolong what runs on a server that no longer answers.
        """
        if self._clock_ms is None:
            return None
        elapsed_s = now - self._clock_read_at
        least = self._clock_ms + round((elapsed_s + SHORTEST_START_LEASE_S) * 1_000)
        if self._longest_until_ms >= least:
            return self._longest_until_ms
        return self.next_lease_end_ms(now)

    def leases_expired(self, now: float) -> bool:
        """Tell whether every lease that was ever given has certainly run out."""
        if self._clock_ms is None:
            return True
        until_ms = max(self._longest_until_ms, self._inherited_until_ms)
        left_ms = until_ms - self._clock_ms
        left_s = left_ms / MILLISECONDS / SLOWEST_CLOCK + LAPSE_MARGIN_S
        return now > self._clock_read_at + left_s
