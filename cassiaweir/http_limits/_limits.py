"""The limits of HTTP listeners."""

from __future__ import annotations

from dataclasses import dataclass

MAX_HEAD_BYTES = 32_768


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """What the clients of one listener may use.

    `max_head_bytes` is for a head with all that precedes it.
    """

    max_head_bytes: int = MAX_HEAD_BYTES


DEFAULT_LIMITS = ListenerLimits()
