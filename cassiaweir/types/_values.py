"""Values that are used throughout the program."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import StrEnum
from typing import Protocol

from cassiaweir.types._number_bounds import bounded_int


class Clock(Protocol):
    """The source of time, passed to whatever depends on it so that tests can set it."""

    def now(self) -> datetime:
        """Return the date and time in UTC, for display only."""

    def monotonic(self) -> float:
        """Return seconds that never decrease and go on while the process is stopped."""

    async def sleep(self, duration: timedelta) -> None:
        """Suspend the calling task for `duration`."""


@dataclass(frozen=True, slots=True, order=True)
class Resources:
    """An amount of processing power, memory and accelerators.

    `cpu_millis` counts thousandths of a processor core.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, count: int) -> Resources:
        return Resources(
            self.cpu_millis * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    def bounded(self, limit: int) -> Resources:
        """Return the same amounts, those beyond `limit` reduced to it."""
        return Resources(
            bounded_int(self.cpu_millis, limit),
            bounded_int(self.memory_mb, limit),
            bounded_int(self.accelerators, limit),
        )

    def fits(self, room: Resources) -> bool:
        """Return whether this amount is at most `room` in every dimension."""
        return (
            self.cpu_millis <= room.cpu_millis
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


NO_RESOURCES = Resources()
"""Zero in every dimension."""


class JobKind(StrEnum):
    """The kinds of workload."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class Urgency(StrEnum):
    """How soon a job or a request has to start."""

    URGENT = "urgent"
    NORMAL = "normal"
