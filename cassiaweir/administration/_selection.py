"""Selects events for the timeline, and sums up counts of refused requests."""

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
    """Conditions that an event has to meet; an empty one is met by every event.

    An event has to be about `job`, `request` and `vm`, of one of `kinds`, and at
    `since` or later.
    """

    job: str = ""
    request: str = ""
    vm: str = ""
    kinds: frozenset[str] = frozenset()
    since: datetime | None = None

    def matches(self, event: Event) -> bool:
        """Return whether `event` meets all conditions but `since`."""
        if self.job and not _names_job(event, self.job):
            return False
        if self.vm and self.vm not in (event.subject, event.fields.get("vm")):
            return False
        if self.kinds and event.kind not in self.kinds:
            return False
        names = (event.subject, event.fields.get("request"))
        return not self.request or self.request in names


def select_events(events: Iterable[Event], event_filter: EventFilter) -> list[Event]:
    """Return the events that match, and the events that caused them.

    Indirect causes are included, and a cause may be an event of another process.
    Events before `since` are left out, even if they are causes.  The order is kept.
    """
    since = event_filter.since
    ordered = list(events)
    by_id = {f"{event.process}:{event.sequence}": event for event in ordered}
    selected = {
        (event.process, event.sequence)
        for event in ordered
        if event_filter.matches(event)
    }
    for event in ordered:
        cause = event.cause
        if (event.process, event.sequence) not in selected:
            continue
        while cause in by_id:
            cause_event = by_id[cause]
            if (cause_event.process, cause_event.sequence) in selected:
                break
            selected.add((cause_event.process, cause_event.sequence))
            cause = cause_event.cause
    return [
        event
        for event in ordered
        if (event.process, event.sequence) in selected
        and (since is None or event.at >= since)
    ]


def count_refusals(metrics: Sequence[str]) -> dict[str, int]:
    """Return the number of refused requests by reason, summed over metrics texts."""
    totals: Counter[str] = Counter()
    for text in metrics:
        for reason, count in REFUSALS_PATTERN.findall(text):
            totals[reason] += int(count)
    return dict(sorted(totals.items()))


def _names_job(event: Event, job: str) -> bool:
    """Return whether an event is about a job, one of its parts or one of its tasks."""
    subject = event.subject
    return (
        subject == job
        or subject.startswith(f"{job}/")
        or subject.endswith(f"/{job}")
        or event.fields.get("job") == job
    )
