"""The rows of the configuration and of the keys."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from cassiaweir.configuration._bundle import Bundle
from cassiaweir.types import Check, Row

BUNDLE_HEAD = "bundle/head"
BUNDLE_LAST = "bundle/last"
BUNDLE_VERSION_PREFIX = "bundle/version/"
KEYS_HEAD = "keys/head"
KEY_PREFIX = "key/"


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
    """The rows `bundle/last` and `keys/head`: the highest version given out."""

    version: int = 0


class KeyRow(msgspec.Struct, frozen=True):
    """The row `key/<digest>`; a withdrawn key never works again."""

    team: str
    granted_by: str
    granted_at: str
    withdrawn: bool = False
    withdrawn_by: str = ""


def version_key(version: int) -> str:
    """Return the key of the row of bundle `version`; keys sort as versions do."""
    return f"{BUNDLE_VERSION_PREFIX}{version:010d}"


def unchanged_check(key: str, row: Row | None) -> Check:
    """Return the check that `key` is still as `row` was read, or still absent."""
    return Check(key, row.version if row else 0)


def decode_head(row: Row | None) -> BundleHead:
    """Return the head in `row`, or version 0."""
    return msgspec.json.decode(row.value, type=BundleHead) if row else BundleHead()


def decode_counter(row: Row | None) -> Counter:
    """Return the counter in `row`, or 0."""
    return msgspec.json.decode(row.value, type=Counter) if row else Counter()
