"""What a process knows of the cell: teams, queues, keys and owners of shards."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from cassiaweir.types._values import Resources


@dataclass(frozen=True, slots=True)
class Team:
    """A team with its weight when the fleet is full and its upper limit."""

    name: str
    share: int
    limit: Resources


@dataclass(frozen=True, slots=True)
class Queue:
    """Where work is submitted.

    An open queue takes work without a key, on behalf of `team`.  A keyed queue has
    an empty `team` and takes work for the team whose key came with it.
    """

    name: str
    open: bool
    team: str = ""


class CellView(Protocol):
    """What this process knows of the configuration in force and of the keys."""

    @property
    def bundle_version(self) -> int:
        """The version of the bundle in force; 0 before any is known."""

    @property
    def keys_version(self) -> int:
        """The version of the view of the keys."""

    def age(self) -> timedelta:
        """Return the time since the view was known to be the newest."""

    def teams(self) -> Sequence[Team]:
        """Return all teams in force."""

    def team(self, name: str) -> Team | None:
        """Return the team called `name`, or None."""

    def queue(self, name: str) -> Queue | None:
        """Return the queue called `name`, or None."""

    def service_queues(self, service: str) -> Sequence[str]:
        """Return the queues that admit requests to `service`, the default first.

        Empty where no such service is in force.
        """

    def authenticate(self, secret: str) -> str:
        """Return the team that the key `secret` belongs to.

        Raises `RefusedError` with verdict NOT_RUN: reason `key_unknown` or
        `key_withdrawn`, or `view_too_old` with Retry-After where the view is older
        than the limit and a key may have been withdrawn meanwhile.
        """


@dataclass(frozen=True, slots=True)
class ShardOwner:
    """The owner of a shard and the load it told of last."""

    shard: str
    failure_domain: str
    process: str
    address: str
    epoch: int
    capacity: Resources
    free: Resources
    queued_tasks: int
    running_tasks: int


class ShardDirectory(Protocol):
    """Which scheduler owns which shard, as heard from the schedulers themselves."""

    def owners(self) -> Sequence[ShardOwner]:
        """Return the known owners, one a shard, that were heard from lately."""

    def owner(self, shard: str) -> ShardOwner | None:
        """Return the owner of `shard`, or None."""


class OwnedShards(Protocol):
    """The shards that this scheduler process owns now."""

    def owned(self) -> Sequence[ShardOwner]:
        """Return the shards whose lease, or autonomy, this process holds."""
