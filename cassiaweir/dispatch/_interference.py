"""Takes the samples for the interference model from the reports of servers."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Protocol

from cassiaweir.dispatch._runs import Run, RunKey, RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_entry import ServerReport
from cassiaweir.observe import Metrics
from cassiaweir.scheduling import InterferenceModel, SiblingRates
from cassiaweir.types import Clock

MAX_REPORT_GAP_S = 1.5
"""A report that came later after the one before gives no samples."""

MIN_GAINED_PERCENT = 4.0
"""Progress over which a rate is measured: reports show whole percents.

Rounding then has a standard deviation of a tenth, less than that among tasks.
"""

EARLY_SHARE = 0.15
"""A kind that came within this share of a sample counts as present all the time.

New runs often start right after the report that showed the end of others.
"""

FULL_SHARE = 0.1
"""A server with less than this share of its CPU free counts as full."""

WEIGHT_PER_PROGRESS = 3.0
"""Weight of a sample for each unit of progress; a run has a weight of at most 1.

Tasks of a step differ by 15 to 30%, so a third of a run tells nearly as much about them
as all of it.
"""

SPEED_HALF_LIFE_S = 60.0
MAX_SPEED_GAIN = 0.5
"""Weight of the newest speed of a server in the mean that begins with it."""

MS_PER_SECOND = 1_000


class ServerSpeedSource(Protocol):
    """Knows the speeds of servers relative to each other."""

    def speed(self, server_id: str) -> float:
        """Return the speed of a server, 1.0 while it is unknown."""

    def known(self, server_id: str) -> bool:
        """Return whether the speed of a server is known."""


@dataclass(slots=True)
class _Mark:
    """Where the sample of a run began: its progress, and the kinds beside it.

    `spent` is the weight of the run's former samples.
    """

    percent: float
    clock_ms: int
    received_at: float
    others: frozenset[str]
    spent: float = 0.0


@dataclass(slots=True)
class _ServerState:
    """The last report of a server, and the long-term mean of its log speed.

    The mean belongs to the lifetime `born`, like the marks of the runs.
    """

    born: int
    clock_ms: int
    received_at: float
    marks: dict[RunKey, _Mark] = field(default_factory=dict)
    log_speed: float = 0.0
    speed_since: float | None = None


class InterferenceSampler:
    """Compares the rates of runs with those of their siblings on other servers.

    Rates are measured on the clocks of the servers, so that neither a paused leader nor
    a slow network changes them.  A sample ends when the kinds beside the run change.
    Gangs give no samples, as all members progress at the rate of the slowest; nor do
    long-running tasks, which report no progress, and tasks that fill idle CPU.
    `model` is what is learnt.
    """

    def __init__(
        self, speeds: ServerSpeedSource, clock: Clock, metrics: Metrics
    ) -> None:
        self.model = InterferenceModel(self._count_pairs)
        self._speeds = speeds
        self._clock = clock
        self._metrics = metrics
        self._count_pairs()
        self._rates = SiblingRates()
        self._states: dict[str, _ServerState] = {}

    def _count_pairs(self) -> None:
        self._metrics.set("interfering_pairs", self.model.found_count)

    def forget_server(self, server_id: str) -> None:
        """Forget a server that was removed."""
        self._states.pop(server_id, None)

    def record_report(self, server: Server, report: ServerReport) -> None:
        """Take the samples of a report that was just applied to `server`."""
        now = self._clock.monotonic()
        state = self._states.get(server.server_id)
        if state is None or state.born != report.born:
            state = _ServerState(report.born, report.clock_ms, now)
            self._states[server.server_id] = state
        self._update_speed(server, state, now)
        gap_s = max(
            now - state.received_at, (report.clock_ms - state.clock_ms) / MS_PER_SECOND
        )
        # What else runs on the server is unknown while it lists orphan runs.
        usable = gap_s <= MAX_REPORT_GAP_S and not server.orphan_runs
        state.clock_ms, state.received_at = report.clock_ms, now
        state.marks = self._take_samples(server, report, state, now, usable=usable)

    def _take_samples(
        self,
        server: Server,
        report: ServerReport,
        state: _ServerState,
        now: float,
        *,
        usable: bool,
    ) -> dict[RunKey, _Mark]:
        """Record the samples that have ended; return where the next ones begin."""
        kinds = server.kinds
        others_of: dict[str, frozenset[str]] = {}
        kept: dict[RunKey, _Mark] = {}
        for row in report.running:
            key = (row.task, row.run)
            run = server.runs.get(key)
            if run is None or not _gives_samples(run):
                continue
            kind = run.task.step.kind
            others = others_of.get(kind)
            if others is None:
                alone = kinds[kind] == 1
                others = frozenset(each for each in kinds if each != kind or not alone)
                others_of[kind] = others
            mark = state.marks.get(key)
            spent = 0.0 if mark is None else mark.spent
            if mark is not None and usable:
                gained = row.percent - mark.percent
                if gained < MIN_GAINED_PERCENT:
                    if others == mark.others and gained >= 0:
                        kept[key] = mark
                        continue
                # A kind that is gone was there until now: servers report at once when
                # a run has ended.
                elif others <= mark.others or _came_early(server, mark, now):
                    mark.others |= others
                    spent += self._record(server, run, state, mark, row.percent, now)
            kept[key] = _Mark(row.percent, report.clock_ms, now, others, spent)
        return kept

    def _record(
        self,
        server: Server,
        run: Run,
        state: _ServerState,
        mark: _Mark,
        percent: float,
        now: float,
    ) -> float:
        """Record the sample of a run that began at `mark`; return its weight."""
        elapsed_ms = state.clock_ms - mark.clock_ms
        weight = WEIGHT_PER_PROGRESS * (percent - mark.percent) / 100
        weight = min(weight, 1 - mark.spent)
        if elapsed_ms <= 0 or weight <= 0 or state.speed_since is None:
            return 0.0
        step, server_id = run.task.step, server.server_id
        rate = (percent - mark.percent) / elapsed_ms
        log_rate = math.log(rate) - state.log_speed
        reference = self._rates.record(
            step.name, server_id, log_rate, weight, mark.others
        )
        if reference is not None:
            free = server.free.cpu_millis
            self.model.record(
                step.kind,
                mark.others,
                math.exp(log_rate - reference.log_rate),
                now,
                # The reference is as uncertain as the mean of that many tasks.
                weight=weight * reference.weight / (reference.weight + 1),
                sibling_shares=reference.shares,
                server_id=server_id,
                full=free < FULL_SHARE * server.entry.capacity.cpu_millis,
            )
        return weight

    def _update_speed(self, server: Server, state: _ServerState, now: float) -> None:
        """Update the mean log speed of a server, once it is known.

        The learnt speed follows the last few samples, and therefore also falls while
        tasks on the server slow each other down.  Its mean over a minute hardly does.
        """
        if not self._speeds.known(server.server_id):
            state.speed_since = None
            return
        log_speed = math.log(self._speeds.speed(server.server_id))
        if state.speed_since is None:
            state.speed_since = now
            state.log_speed = log_speed
            return
        elapsed_s = now - state.received_at
        age_s = min(now - state.speed_since, SPEED_HALF_LIFE_S / math.log(2))
        gain = min(elapsed_s / age_s, MAX_SPEED_GAIN) if age_s > 0 else 0.0
        state.log_speed += (log_speed - state.log_speed) * gain


def _came_early(server: Server, mark: _Mark, now: float) -> bool:
    """Return whether all kinds that came after `mark` did so soon after it."""
    elapsed_s = now - mark.received_at
    return server.kind_added_at - mark.received_at <= EARLY_SHARE * elapsed_s


def _gives_samples(run: Run) -> bool:
    spec = run.task.step.spec
    if spec.gang or spec.long_running or spec.fills:
        return False
    return run.state is not RunState.STOPPING
