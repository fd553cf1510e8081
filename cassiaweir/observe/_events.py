"""The bounded log of recent events that a process keeps for the time line."""

from __future__ import annotations

from collections import deque
from datetime import datetime

import msgspec
from loguru import logger

from cassiaweir.types import Clock

MAX_KEPT_EVENTS = 4096
"""An `EventLog` drops its oldest event beyond this number."""


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """An event of one process.

    `sequence` numbers the events of the process from 1.  `at` is the wall-clock time of
    the process.  `kind` is the name of the event, such as `task_started`.  `subject` is
    the task, request, shard or row key that the event is about.  `epoch` is the epoch
    of the shard's lease, or 0.  `cause` is `process:sequence` of the event in another
    process that led to this one, or empty.  `fields` holds further values for display.
    """

    sequence: int
    at: datetime
    process: str
    kind: str
    subject: str = ""
    epoch: int = 0
    cause: str = ""
    fields: dict[str, str | int | float | bool] = {}


class EventLog:
    """Keeps the latest events of this process, and writes each as a log line."""

    def __init__(self, process: str, clock: Clock) -> None:
        self.process = process
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=MAX_KEPT_EVENTS)
        self._sequence = 0

    def record(
        self,
        kind: str,
        subject: str = "",
        *,
        epoch: int = 0,
        cause: str = "",
        **fields: str | int | float | bool,
    ) -> Event:
        """Record, log and return an event of `kind` about `subject`."""
        self._sequence += 1
        event = Event(
            sequence=self._sequence,
            at=self._clock.now(),
            process=self.process,
            kind=kind,
            subject=subject,
            epoch=epoch,
            cause=cause,
            fields=fields,
        )
        self._events.append(event)
        logger.bind(subject=subject, epoch=epoch, **fields).info(kind)
        return event

    def after(self, sequence: int, limit: int) -> list[Event]:
        """Return at most `limit` kept events after number `sequence`, in order."""
        found = [event for event in self._events if event.sequence > sequence]
        return found[:limit]
