"""What a version of the operators' configuration allows."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from cassiaweir.types import NO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """A queue whose steps run only where the advice service allows it.

    Durations are in seconds: of one question, of each server named in it, and how long
    an answer may be used.
    """

    question_s: float
    each_server_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue for jobs; requests reach it by host and path prefix.

    `priority` 0 comes first.  A job is on time within `stretch` times its longest
    chain of work plus `slack_s`.  `most_failures` of a task fail its job.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    most_failures: int = 1
    stretch: float = 1.0
    slack_s: float = 0.0
    public: bool = False
    advice: AdvicePolicy | None = None


@dataclass(frozen=True, slots=True)
class BackendService:
    """A pool of backend servers; `admission_check` ones refuse what does not fit."""

    name: str
    health_path: str = "/health"
    admission_check: bool = False
    standby: bool = False


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer; `weight` is its share, `cap` what it may run, 0 meaning no limit."""

    name: str
    keys: frozenset[str] = frozenset()
    weight: float = 1.0
    cap: Resources = NO_RESOURCES


@dataclass(frozen=True, slots=True)
class QueueConfiguration:
    """One version of the configuration, with indexes for requests."""

    version: int
    queues: Sequence[Queue]
    services: Mapping[str, BackendService]
    customers: Mapping[str, Customer]
    max_body_bytes: int
    _by_host: Mapping[str, Sequence[Queue]] = field(default_factory=dict)
    _by_name: Mapping[str, Queue] = field(default_factory=dict)
    _by_key: Mapping[str, Customer] = field(default_factory=dict)

    @classmethod
    def build(
        cls,
        version: int,
        queues: Sequence[Queue],
        services: Sequence[BackendService],
        customers: Sequence[Customer],
        max_body_bytes: int,
    ) -> QueueConfiguration:
        """Return the configuration with its indexes; longest prefixes come first."""
        by_host: dict[str, list[Queue]] = {}
        for queue in sorted(queues, key=lambda queue: -len(queue.prefix)):
            by_host.setdefault(queue.host, []).append(queue)
        return cls(
            version,
            tuple(queues),
            {service.name: service for service in services},
            {customer.name: customer for customer in customers},
            max_body_bytes,
            by_host,
            {queue.name: queue for queue in queues},
            {key: customer for customer in customers for key in customer.keys},
        )

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of `path` at `host`."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def queue_named(self, name: str) -> Queue | None:
        """Return the queue called `name`."""
        return self._by_name.get(name)

    def customer_of(self, key: str) -> Customer | None:
        """Return the customer that holds the key `key`."""
        return self._by_key.get(key)


NO_CONFIGURATION = QueueConfiguration.build(0, (), (), (), 262_144)
"""Stands for a configuration that has not been read yet."""
