"""The limits of HTTP listeners and how they follow from those of the process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import msgspec

from cassiaweir.exceptions import SettingsError

MIB = 1_048_576
DEFAULT_MEMORY_MB = 256
DEFAULT_MAX_DESCRIPTORS = 4_096
RESERVED_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files."""

DESCRIPTORS_PER_CALLER = 2
"""Its connection, and one to the store while its request is served."""

PEERS_SHARE = 0.08
"""The share of the descriptors that callers leave to other VMs and the process itself.

With 4,100 descriptors these are 312, and 256 peers are connected at most.
"""

MIN_CALLER_CONNECTIONS = 64

MEMORY_PER_CONNECTION = 65_536
"""Bytes that a connection may take without a body: buffers, heads, requests in line."""

CONNECTIONS_MEMORY_SHARE = 0.5
BODIES_MEMORY_SHARE = 0.125
"""The share of the memory for request bodies that are being received."""

MAX_OPERATOR_CONNECTIONS = 64
"""Limit for the addresses of readiness checks and metrics, each."""

MAX_HEAD_BYTES = 32_768
HEAD_TIMEOUT_S = 10
IDLE_TIMEOUT_S = 300
BODY_TIMEOUT_S = 5

Positive = Annotated[int, msgspec.Meta(ge=1)]


class HttpOverrides(msgspec.Struct, frozen=True):
    """Values of the settings file that replace derived limits; None keeps the latter.

    The body budget is in MB of 2**20 bytes, times are in seconds.
    """

    max_connections: Positive | None = None
    body_memory_mb: Positive | None = None
    max_head_bytes: Annotated[int, msgspec.Meta(ge=1_024)] | None = None
    head_timeout_s: Positive | None = None
    idle_timeout_s: Positive | None = None
    body_timeout_s: Positive | None = None


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """What the clients of one listener may use; times are in seconds.

    `max_head_bytes` is for a head with all that precedes it.
    """

    max_connections: int = 1_024
    max_head_bytes: int = MAX_HEAD_BYTES
    head_timeout_s: int = HEAD_TIMEOUT_S
    idle_timeout_s: int = IDLE_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """The limits of all HTTP listeners of a process.

    `body_bytes` bounds the request bodies that are being received, all together.
    A body has to arrive within `body_timeout_s` seconds.  `sockets` are the descriptors
    for connections; 0 if those of callers do not depend on them.
    """

    callers: ListenerLimits = ListenerLimits()
    operators: ListenerLimits = ListenerLimits(MAX_OPERATOR_CONNECTIONS)
    body_bytes: int = 32 * MIB
    body_timeout_s: int = BODY_TIMEOUT_S
    sockets: int = 0

    def callers_beside(self, connections: int) -> int:
        """Return how many connections of callers fit beside that many others."""
        limit = self.callers.max_connections
        if not self.sockets:
            return limit
        room = self.sockets * (1 - PEERS_SHARE) - connections
        return min(
            limit, max(int(room) // DESCRIPTORS_PER_CALLER, MIN_CALLER_CONNECTIONS)
        )


DEFAULT_LIMITS = ProcessLimits()
"""The limits where those of the process are not known."""


def derive_limits(
    memory_mb: float, max_descriptors: int, overrides: HttpOverrides
) -> ProcessLimits:
    """Return the limits of a process with that memory (MB) and those descriptors.

    A value of 0 stands for `DEFAULT_MEMORY_MB` or `DEFAULT_MAX_DESCRIPTORS`.  Raises
    `SettingsError` where the overrides exceed what the process has.
    """
    memory = (memory_mb or DEFAULT_MEMORY_MB) * MIB
    sockets = (max_descriptors or DEFAULT_MAX_DESCRIPTORS) - RESERVED_DESCRIPTORS
    if memory <= 0 or sockets < 2:
        raise SettingsError(
            f"limits: memory_mb = {memory_mb} or max_fds = {max_descriptors} is too low"
        )
    connections = int(
        min(
            sockets / DESCRIPTORS_PER_CALLER,
            memory * CONNECTIONS_MEMORY_SHARE / MEMORY_PER_CONNECTION,
        )
    )
    body_bytes = int(memory * BODIES_MEMORY_SHARE)
    if overrides.max_connections is not None:
        connections = overrides.max_connections
        if connections > sockets:
            raise SettingsError(
                f"http: max_connections = {connections} exceeds the {sockets}"
                " descriptors for connections"
            )
    if overrides.body_memory_mb is not None:
        body_bytes = overrides.body_memory_mb * MIB
        if body_bytes > memory:
            raise SettingsError(
                f"http: body_memory_mb = {overrides.body_memory_mb} exceeds the memory"
            )
    callers = ListenerLimits(
        max_connections=connections,
        max_head_bytes=overrides.max_head_bytes or MAX_HEAD_BYTES,
        head_timeout_s=overrides.head_timeout_s or HEAD_TIMEOUT_S,
        idle_timeout_s=overrides.idle_timeout_s or IDLE_TIMEOUT_S,
    )
    operators = ListenerLimits(min(MAX_OPERATOR_CONNECTIONS, max(connections // 4, 1)))
    return ProcessLimits(
        callers,
        operators,
        body_bytes,
        overrides.body_timeout_s or BODY_TIMEOUT_S,
        sockets if overrides.max_connections is None else 0,
    )
