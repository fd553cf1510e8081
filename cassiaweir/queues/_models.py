"""The operators' configuration: queues, backend services and customers."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from cassiaweir.types import (
    MAX_DURATION_S,
    NO_RESOURCES,
    Resources,
    bound_fields,
)

MAX_PRIORITY = 10**9
MAX_FAILURES = 10**9
MAX_FACTOR = 1e6
"""Bounds `stretch`, and the weight of a customer in jobs a second."""

MAX_CAP = 10**15
"""A customer with a higher cap is limited like one with this: by the servers."""

ADVICE_LIMITS: Mapping[str, float] = {
    "question_s": MAX_DURATION_S,
    "each_server_s": MAX_DURATION_S,
    "valid_s": MAX_DURATION_S,
}
QUEUE_LIMITS: Mapping[str, float] = {
    "priority": MAX_PRIORITY,
    "most_failures": MAX_FAILURES,
    "stretch": MAX_FACTOR,
    "slack_s": MAX_DURATION_S,
}
CUSTOMER_LIMITS: Mapping[str, float] = {"weight": MAX_FACTOR}
"""Numbers of a configuration beyond these limits are reduced to them."""


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Restricts a queue's steps to the servers that the advice service allows.

    A request to the service takes about `question_s`, plus `each_server_s` for each
    server that it names.  An answer may be used for `valid_s`.  The fields are stored
    with each job, as part of its queue.
    """

    question_s: float
    each_server_s: float
    valid_s: float

    def __post_init__(self) -> None:
        bound_fields(self, ADVICE_LIMITS)


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs, selected by the host and path prefix of a request.

    `service` runs its tasks.  Priority 0 comes first.  A job is on time if it ends
    within `stretch` times the duration of its critical path, plus `slack_s`.  It fails
    when a task or gang has failed `most_failures` times, unless that is long-running.
    A `public` queue needs no key.  The fields are stored with each job.
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

    def __post_init__(self) -> None:
        bound_fields(self, QUEUE_LIMITS)


@dataclass(frozen=True, slots=True)
class BackendService:
    """A pool of backend servers.

    With `admission_check`, its servers refuse work that exceeds their capacity.
    """

    name: str
    health_path: str = "/health"
    admission_check: bool = False
    standby: bool = False


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer, identified by any of its `keys`.

    `weight` is its share relative to other customers.  `cap` limits the resources of
    its running tasks; an amount of 0 means no limit.
    """

    name: str
    keys: frozenset[str] = frozenset()
    weight: float = 1.0
    cap: Resources = NO_RESOURCES

    def __post_init__(self) -> None:
        bound_fields(self, CUSTOMER_LIMITS)
        object.__setattr__(self, "cap", self.cap.bounded(MAX_CAP))


@dataclass(frozen=True, slots=True)
class QueueConfiguration:
    """One version of the configuration, with indexes for looking up requests.

    `max_body_bytes` limits the body of a request.
    """

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
        """Return the configuration with its indexes, longest path prefixes first."""
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
        """Return the queue at `host` with the longest prefix that matches `path`."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def queue_named(self, name: str) -> Queue | None:
        """Return the queue with the name `name`, or None."""
        return self._by_name.get(name)

    def customer_of(self, key: str) -> Customer | None:
        """Return the customer that the API key `key` belongs to, or None."""
        return self._by_key.get(key)


NO_CONFIGURATION = QueueConfiguration.build(0, (), (), (), 262_144)
"""Used until a configuration has been read."""
