"""The terms, the status and the collaborators of a shard's runner."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from cassiaweir.fleet._driver_types import DriverOptions
from cassiaweir.fleet._lease import LeaseOptions
from cassiaweir.placement import Planner, WaitReason
from cassiaweir.types import Resources


@dataclass(frozen=True, slots=True)
class RunnerOptions:
    """The durations of a runner.

    Placement is tried every `round` while tasks wait and every `idle_round` else, and
    whenever something calls for it.  `max_list_lag` bounds how long a VM stays out of
    the list that a reader gets.
    """

    lease: LeaseOptions
    driver: DriverOptions
    shards_per_domain: int = 1
    round: timedelta = timedelta(milliseconds=50)
    idle_round: timedelta = timedelta(milliseconds=250)
    vm_poll: timedelta = timedelta(seconds=1)
    part_poll: timedelta = timedelta(seconds=5)
    max_list_lag: timedelta = timedelta(seconds=5)


class Allotments(Protocol):
    """What each team may run in the shard."""

    def apply(self, planner: Planner, held: Mapping[str, Resources]) -> list[str]:
        """Tell the planner what each team may run, and return teams that run too much.

        `held` is what a former owner may still run for each team of the shard.
        """

    async def balance(self, planner: Planner, held: Mapping[str, Resources]) -> None:
        """Move allotments towards demand; raises `UnavailableError`."""


@dataclass(frozen=True, slots=True)
class PartStatus:
    """The live state of the part of a job in this shard."""

    shard: str
    queued: int
    running: int
    succeeded: int
    failed: int
    reason: WaitReason
