"""The content of a view, in the form in which processes exchange it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from cassiaweir.configuration._bundle import Bundle


class KnownKey(msgspec.Struct, frozen=True):
    """An API key, as a view holds it and as processes exchange it.

    `digest` is that of the secret.
    """

    digest: str
    team: str
    withdrawn: bool


@dataclass(frozen=True, slots=True)
class ViewContent:
    """The bundle and the keys of a view, as one process sends them to another.

    A part that the receiver did not need is None; its version is given nevertheless.
    Both versions were the newest at `fresh_at` or later, which is in seconds of the
    monotonic clock of the process that holds this object.
    """

    bundle_version: int
    bundle: Bundle | None
    keys_version: int
    keys: Mapping[str, KnownKey] | None
    fresh_at: float
