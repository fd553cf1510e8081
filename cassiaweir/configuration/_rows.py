"""Rows of the table that hold bundle versions and API keys, and their keys there."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from cassiaweir.configuration._bundle import Bundle
from cassiaweir.types import Check, Row

BUNDLE_HEAD = "bundle/head"
"""Key of the `BundleHead`: the version in force."""
BUNDLE_LAST = "bundle/last"
"""Key of the `Counter` with the highest version given to a bundle."""
BUNDLE_VERSION_PREFIX = "bundle/version/"
"""Prefix of the keys of `BundleVersion` rows."""
KEYS_HEAD = "keys/head"
"""Key of the `Counter` that every change of the API keys increments."""
KEY_PREFIX = "key/"
"""Prefix of the keys of `KeyRow` rows."""


class BundleState(StrEnum):
    """How far a version of the bundle has come."""

    DRAFT = "draft"
    PROPOSED = "proposed"
    APPROVED = "approved"
    REJECTED = "rejected"
    ROLLED_OUT = "rolled_out"


class Review(msgspec.Struct, frozen=True):
    """What a reviewer said of the content with `digest`."""

    reviewer: str
    digest: str
    approved: bool
    comment: str = ""


class BundleVersion(msgspec.Struct, frozen=True):
    """The row `bundle/version/<n>`; `base` is the version it was made from."""

    version: int
    base: int
    digest: str
    author: str
    state: BundleState
    bundle: Bundle
    reviews: list[Review] = []
    approved_by: str = ""
    rolled_out_by: str = ""
    reverts_to: int = 0


class BundleHead(msgspec.Struct, frozen=True):
    """The row `bundle/head`: the version in force."""

    version: int = 0
    digest: str = ""
    operator: str = ""


class Counter(msgspec.Struct, frozen=True):
    """The rows `bundle/last` and `keys/head`: the highest version assigned so far."""

    version: int = 0


class KeyRow(msgspec.Struct, frozen=True):
    """The row `key/<digest>`: an API key of a team, by the digest of its secret.

    A withdrawn key cannot be put back in force.
    """

    team: str
    granted_by: str
    granted_at: str
    withdrawn: bool = False
    withdrawn_by: str = ""


def version_key(version: int) -> str:
    """Return the key of the row of bundle `version`.

    The number is padded with zeros, so that keys sort in the order of versions.
    """
    return f"{BUNDLE_VERSION_PREFIX}{version:010d}"


def unchanged_check(key: str, row: Row | None) -> Check:
    """Return the check that the row at `key` has not changed since it was read.

    `row` is None if there was no row; the check is then that there still is none.
    """
    return Check(key, row.version if row else 0)


def decode_head(row: Row | None) -> BundleHead:
    """Return the head in `row`, or version 0 if there is no row."""
    return msgspec.json.decode(row.value, type=BundleHead) if row else BundleHead()


def decode_counter(row: Row | None) -> Counter:
    """Return the counter in `row`, or 0 if there is no row."""
    return msgspec.json.decode(row.value, type=Counter) if row else Counter()
