"""Selects events of the time line, and counts refusals."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Sequence
from datetime import datetime

from cassiaweir.observe import Event

REFUSALS_PATTERN = re.compile(
    r'^cassiaweir_http_refusals_total\{reason="([a-z_]+)"\} (\d+)', re.MULTILINE
)


def select_events(
    events: Iterable[Event], *, job: str, request: str, since: datetime | None
) -> list[Event]:
    """Return the events about `job` or `request` that are not older than `since`.

    An empty name selects every event.  The causes of a selected event come with it.
    """
    ordered = list(events)
    named = {f"{event.process}:{event.sequence}": event for event in ordered}
    wanted = {
        (event.process, event.sequence)
        for event in ordered
        if _is_about(event, job, request)
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


def _is_about(event: Event, job: str, request: str) -> bool:
    if job and not _names_job(event, job):
        return False
    return not request or request in (event.subject, event.fields.get("request"))


def _names_job(event: Event, job: str) -> bool:
    """Tell whether an event is about a job, one of its parts or one of its tasks."""
    subject = event.subject
    return (
        subject == job
        or subject.startswith(f"{job}/")
        or subject.endswith(f"/{job}")
        or event.fields.get("job") == job
    )
