"""A process's view of its cell: teams, queues, keys and owners of shards.

A cell is one installation of the scheduler, whose work is divided into shards.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from cassiaweir.types._values import Resources


@dataclass(frozen=True, slots=True)
class Team:
    """A team.

    `share` is its weight in the division of a fleet that is full, and `limit` the most
    that its tasks may take at once.
    """

    name: str
    share: int
    limit: Resources


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue to which work is submitted.

    An open queue accepts work without a key, on behalf of `team`.  Any other queue has
    an empty `team` and accepts work for the team whose key is sent with it.
    """

    name: str
    open: bool
    team: str = ""


class CellView(Protocol):
    """The configuration in force and the keys, as far as this process knows them."""

    @property
    def bundle_version(self) -> int:
        """The version of the configuration bundle in force; 0 while none is known."""

    @property
    def keys_version(self) -> int:
        """The version of the keys that this process knows."""

    def age(self) -> timedelta:
        """Return the time since this view was last known to be up to date."""

    def teams(self) -> Sequence[Team]:
        """Return all teams in force."""

    def team(self, name: str) -> Team | None:
        """Return the team called `name`, or None."""

    def queue(self, name: str) -> Queue | None:
        """Return the queue called `name`, or None."""

    def service_queues(self, service: str) -> Sequence[str]:
        """Return the queues that accept requests to `service`, the default first.

        The result is empty if the configuration in force has no such service.
        """

    def authenticate(self, secret: str) -> str:
        """Return the team that the key `secret` belongs to.

        Raises `RefusedError` with verdict NOT_RUN and reason `key_unknown` or
        `key_withdrawn`.  The reason is `view_too_old`, with a `retry_after`, where the
        view is older than the limit, as the key may have been withdrawn since.
        """


@dataclass(frozen=True, slots=True)
class ShardOwner:
    """The owner of a shard and the load that it last reported."""

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
    """The owner of each shard, as reported by the schedulers themselves."""

    def owners(self) -> Sequence[ShardOwner]:
        """Return the owners that reported recently, one for each shard."""

    def owner(self, shard: str) -> ShardOwner | None:
        """Return the owner of `shard`, or None if it is not known."""


class OwnedShards(Protocol):
    """The shards that this scheduler process owns at present."""

    def owned(self) -> Sequence[ShardOwner]:
        """Return the shards that this process holds by lease or by autonomy."""
