"""The parts of a view that processes hand to one another."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from cassiaweir.configuration._bundle import Bundle


class KnownKey(msgspec.Struct, frozen=True):
    """A key as the view keeps it and hands it to other processes."""

    digest: str
    team: str
    withdrawn: bool


@dataclass(frozen=True, slots=True)
class ViewContent:
    """The parts of a view that one process hands to another.

    `fresh_at` is in seconds of the receiver's monotonic clock: at that moment or
    later the versions were the newest.  A part that was not asked for is None.
    """

    bundle_version: int
    bundle: Bundle | None
    keys_version: int
    keys: Mapping[str, KnownKey] | None
    fresh_at: float
