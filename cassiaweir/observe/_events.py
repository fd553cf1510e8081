"""The bounded record of events that a process keeps for the time line."""

from __future__ import annotations

from collections import deque
from datetime import datetime

import msgspec
from loguru import logger

from cassiaweir.types import Clock

CAPACITY_EVENTS = 4096


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One thing that happened in one process.

    `sequence` counts the events of the process.  `subject` is a task, request,
    shard or row key.  `cause` is `process:sequence` of the event that led to this
    one in another process, or empty.  `fields` holds further values for display.
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
    """Keeps the last events of this process and writes each as one log line."""

    def __init__(self, process: str, clock: Clock) -> None:
        self.process = process
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=CAPACITY_EVENTS)
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
        """Add an event of `kind` about `subject`, and return it."""
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
        """Return at most `limit` kept events that follow `sequence`, in order."""
        found = [event for event in self._events if event.sequence > sequence]
        return found[:limit]
