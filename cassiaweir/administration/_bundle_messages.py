"""Messages about bundles and their life."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec

from cassiaweir.administration._fleet_messages import ProcessInfo
from cassiaweir.administration._messages import (
    LARGEST_FILE_CHARACTERS,
    Change,
    Comment,
    Digest,
    Message,
)


class BundleFile(Change):
    """One TOML file of a bundle."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
    text: Annotated[str, msgspec.Meta(max_length=LARGEST_FILE_CHARACTERS)]


class BundleDraft(Change):
    """The TOML files of a bundle."""

    files: Annotated[list[BundleFile], msgspec.Meta(min_length=1, max_length=64)]


class BundleInfo(Message):
    """A version of the bundle without its content."""

    version: int
    base: int
    digest: str
    author: str
    state: str
    approved_by: str = ""
    rolled_out_by: str = ""
    reverts_to: int = 0
    in_force: bool = False


class BundleList(Message):
    """Versions of the bundle, lowest first."""

    bundles: list[BundleInfo]


class ProposeChange(Change):
    """Asks for review of the content with `digest`."""

    digest: Digest


class ReviewChange(Change):
    """Approves or rejects the content with `digest`."""

    digest: Digest
    approve: bool
    comment: Comment = ""


class RolloutChange(Change):
    """Puts a version in force; `confirm` accepts the findings of its check."""

    digest: Digest
    confirm: bool = False


class RevertChange(Change):
    """Puts earlier content in force in place of version `head`, and of no other.

    `confirm` accepts the findings of its check.
    """

    head: Annotated[int, msgspec.Meta(ge=1)]
    confirm: bool = False


class FindingKind(StrEnum):
    """What a check of a bundle against the cell may find."""

    LIMIT_BELOW_RUNNING = "limit_below_running"
    TEAM_REMOVED_WITH_WORK = "team_removed_with_work"
    EXCEEDS_CELL = "exceeds_cell"
    UNKNOWN_LOAD = "unknown_load"


class Finding(Message):
    """One thing that roll-out would bring about and that asks for confirmation."""

    kind: FindingKind
    subject: str
    detail: str


class CheckReport(Message):
    """What a bundle would change and what of it asks for confirmation."""

    digest: str
    base: int
    changes: list[str]
    findings: list[Finding]


class BundleStatus(Message):
    """The version in force and which processes have it."""

    version: int
    digest: str
    operator: str
    complete: bool
    behind: list[str]
    silent: list[str]
    processes: list[ProcessInfo]
