"""The JSON bodies exchanged with the platform's services.

Bytes are encoded as base64 text.  The types of versions, sizes and states are defined
in `cassiaweir.types`.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec

from cassiaweir.types import (
    Check,
    Command,
    Row,
    TaskId,
    TaskReport,
    TaskStart,
    Vm,
    Write,
)
from cassiaweir.verdict import Verdict

CALLER_HEADER = "Cassiaweir-Caller"
"""The header that names the VM from which a request to the platform comes."""


class Envelope(msgspec.Struct, frozen=True):
    """The stored form of a row's value, with the token of the commit that wrote it."""

    token: str
    value: bytes


class ReadRequest(msgspec.Struct, frozen=True):
    """Requests rows by their keys."""

    keys: list[str]


class ScanRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Requests the rows whose key starts with `prefix` and follows `after`.

    At most `limit` rows are returned, all of them where it is 0.
    """

    prefix: str
    after: str = ""
    limit: Annotated[int, msgspec.Meta(ge=0)] = 0


class RowsAnswer(msgspec.Struct, frozen=True):
    """Answers `ReadRequest` and `ScanRequest`: rows of one snapshot, ordered by key."""

    rows: list[Row]


class CommitRequest(msgspec.Struct, frozen=True):
    """Requests a transaction: all `writes` are applied if all `checks` hold."""

    checks: list[Check]
    writes: list[Write]


class CommitAnswer(msgspec.Struct, frozen=True):
    """Answers `CommitRequest` with the new version of each written key."""

    versions: dict[str, int]


class VmsAnswer(msgspec.Struct, frozen=True):
    """Answers a request for the platform's list of VMs."""

    vms: list[Vm]


class RenewRequest(msgspec.Struct, frozen=True):
    """Asks a worker to extend the leases of its tasks and to drop ended attempts."""

    command: Command
    lease_seconds: float
    ended: list[TaskReport]


class StartRequest(msgspec.Struct, frozen=True):
    """Asks a worker to start tasks, each with a lease of `lease_seconds`."""

    command: Command
    lease_seconds: float
    starts: list[TaskStart]


class StopRequest(msgspec.Struct, frozen=True):
    """Asks a worker to stop tasks, with `checkpoint` after saving their state."""

    command: Command
    tasks: list[TaskId]
    checkpoint: bool


class ProblemKind(StrEnum):
    """Why a platform service refused a call."""

    CONFLICT = "conflict"
    EXPIRED = "expired"
    FENCED = "fenced"
    INVALID = "invalid"
    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"


class Problem(msgspec.Struct, frozen=True):
    """The body of every answer that refuses a request, whose status is not 200.

    `verdict` says whether the request may have taken effect all the same.
    """

    kind: ProblemKind
    message: str
    verdict: Verdict = Verdict.NOT_RUN
