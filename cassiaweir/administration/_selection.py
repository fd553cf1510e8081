"""Selects events of the time line, and counts refusals."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime

from cassiaweir.observe import Event

REFUSALS_PATTERN = re.compile(
    r'^cassiaweir_http_refusals_total\{reason="([a-z_]+)"\} (\d+)', re.MULTILINE
)


@dataclass(frozen=True, slots=True)
class EventFilter:
    """What events have to be about; an empty member selects every event.

    `kinds` is any of these kinds; `since` is the time of the oldest event.
    """

    job: str = ""
    request: str = ""
    vm: str = ""
    kinds: frozenset[str] = frozenset()
    since: datetime | None = None

    def matches(self, event: Event) -> bool:
        """Tell whether `event` is selected, whatever its time."""
        if self.job and not _names_job(event, self.job):
            return False
        if self.vm and self.vm not in (event.subject, event.fields.get("vm")):
            return False
        if self.kinds and event.kind not in self.kinds:
            return False
        names = (event.subject, event.fields.get("request"))
        return not self.request or self.request in names


def select_events(events: Iterable[Event], wanted_by: EventFilter) -> list[Event]:
    """Return the events that match, and what caused them in other processes."""
    since = wanted_by.since
    ordered = list(events)
    named = {f"{event.process}:{event.sequence}": event for event in ordered}
    wanted = {
        (event.process, event.sequence) for event in ordered if wanted_by.matches(event)
    }
    for event in ordered:
        cause = event.cause
        if (event.process, event.sequence) not in wanted:
            continue
        while cause in named:
            found = named[cause]
            if (found.process, found.sequence) in wanted:
                break
            wanted.add((found.process, found.sequence))
            cause = found.cause
    return [
        event
        for event in ordered
        if (event.process, event.sequence) in wanted
        and (since is None or event.at >= since)
    ]


def count_refusals(metrics: Sequence[str]) -> dict[str, int]:
    """Return the refusals of callers by reason, out of the metrics of processes."""
    total: Counter[str] = Counter()
    for text in metrics:
        for reason, count in REFUSALS_PATTERN.findall(text):
            total[reason] += int(count)
    return dict(sorted(total.items()))


def _names_job(event: Event, job: str) -> bool:
    """Tell whether an event is about a job, one of its parts or one of its tasks."""
    subject = event.subject
    return (
        subject == job
        or subject.startswith(f"{job}/")
        or subject.endswith(f"/{job}")
        or event.fields.get("job") == job
    )
