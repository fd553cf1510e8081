"""Options of a shard runner, the status of a part, and the allotment interface."""

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
    """The options of a shard runner.

    Tasks are placed every `round` while any are queued and every `idle_round`
    otherwise, and at once when room may have become free or tasks have been added.
    The VM list is read every `vm_poll`, and all parts of the shard every `part_poll`.
    `max_list_lag` bounds how long a new VM may be missing from the VM list.
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
    """Manages the resources that each team may use in the shard."""

    def apply(self, planner: Planner, held_back: Mapping[str, Resources]) -> list[str]:
        """Pass each team's allotment to the planner; return the teams beyond theirs.

        `held_back` is, for each team, the amount of the tasks that a former owner may
        still run; it counts against the allotment.
        """

    async def balance(
        self, planner: Planner, held_back: Mapping[str, Resources]
    ) -> None:
        """Move allotments between shards towards demand.

        Raises `UnavailableError`.
        """


@dataclass(frozen=True, slots=True)
class PartStatus:
    """How many tasks of a job are in which state in `shard`, and why tasks wait."""

    shard: str
    queued: int
    running: int
    succeeded: int
    failed: int
    reason: WaitReason
