"""Messages about bundles: drafts, reviews, checks and roll-out.

A bundle is a version of the configuration of teams, queues and services.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec

from cassiaweir.administration._fleet_messages import ProcessInfo
from cassiaweir.administration._messages import (
    MAX_FILE_CHARACTERS,
    Comment,
    Digest,
    RequestMessage,
    ResponseMessage,
)


class BundleFile(RequestMessage):
    """One TOML file of a bundle."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
    text: Annotated[str, msgspec.Meta(max_length=MAX_FILE_CHARACTERS)]


class BundleDraft(RequestMessage):
    """A request to check or store a bundle that consists of these TOML files."""

    files: Annotated[list[BundleFile], msgspec.Meta(min_length=1, max_length=64)]


class BundleInfo(ResponseMessage):
    """A version of the bundle without its content.

    `base` is the version that it was made from, 0 if there was none.  `reverts_to` is
    the earlier version whose content it restores, 0 if it is no revert.
    """

    version: int
    base: int
    digest: str
    author: str
    state: str
    approved_by: str = ""
    rolled_out_by: str = ""
    reverts_to: int = 0
    in_force: bool = False


class BundleList(ResponseMessage):
    """All versions of the bundle, the lowest first."""

    bundles: list[BundleInfo]


class ProposeChange(RequestMessage):
    """A request for a review of the draft whose content has this digest."""

    digest: Digest


class ReviewChange(RequestMessage):
    """The approval or rejection of the content with this digest."""

    digest: Digest
    approve: bool
    comment: Comment = ""


class RolloutChange(RequestMessage):
    """A request to put an approved version in force.

    `digest` is that of the approved content.  `confirm` accepts the findings of the
    check of this version.
    """

    digest: Digest
    confirm: bool = False


class RevertChange(RequestMessage):
    """A request to put the content of an earlier version in force again.

    It is refused unless `head` is the version in force, so that the request does not
    undo a version that the operator has not seen.  `confirm` accepts the findings of
    the check of the earlier version.
    """

    head: Annotated[int, msgspec.Meta(ge=1)]
    confirm: bool = False


class FindingKind(StrEnum):
    """The kinds of findings when a bundle is checked against the running cell."""

    LIMIT_BELOW_RUNNING = "limit_below_running"
    TEAM_REMOVED_WITH_WORK = "team_removed_with_work"
    EXCEEDS_CELL = "exceeds_cell"
    UNKNOWN_LOAD = "unknown_load"


class Finding(ResponseMessage):
    """A consequence of a roll-out that the operator has to confirm.

    `subject` is the name of the team concerned.
    """

    kind: FindingKind
    subject: str
    detail: str


class CheckReport(ResponseMessage):
    """The changes that a bundle would make, and the findings to be confirmed.

    `digest` is that of the bundle that was checked, and `base` the version in force
    that it was compared with.  Each change is one line that starts with `+` or `-`.
    """

    digest: str
    base: int
    changes: list[str]
    findings: list[Finding]


class BundleStatus(ResponseMessage):
    """The version in force, and which processes have installed it.

    `operator` rolled it out.  `behind` names the processes that still have an earlier
    version, `silent` those that did not answer; `complete` is true if there are none
    of either.
    """

    version: int
    digest: str
    operator: str
    complete: bool
    behind: list[str]
    silent: list[str]
    processes: list[ProcessInfo]
