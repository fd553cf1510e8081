"""The JSON bodies exchanged with the platform's services.

Bytes travel as base64 text.  Versions, sizes and states are those of
`cassiaweir.types`.
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
"""Names the VM that sends a request to the platform."""


class Envelope(msgspec.Struct, frozen=True):
    """What the value of a table row holds: the commit's token and the value."""

    token: str
    value: bytes


class ReadRequest(msgspec.Struct, frozen=True):
    """Asks for rows by key."""

    keys: list[str]


class ScanRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Asks for the rows under a prefix whose keys follow `after`.

    A `limit` of 0 asks for all of them.
    """

    prefix: str
    after: str = ""
    limit: Annotated[int, msgspec.Meta(ge=0)] = 0


class RowsAnswer(msgspec.Struct, frozen=True):
    """Rows from one snapshot, ordered by key."""

    rows: list[Row]


class CommitRequest(msgspec.Struct, frozen=True):
    """Asks for one transaction."""

    checks: list[Check]
    writes: list[Write]


class CommitAnswer(msgspec.Struct, frozen=True):
    """The new version of each written key."""

    versions: dict[str, int]


class VmsAnswer(msgspec.Struct, frozen=True):
    """The platform's list of VMs."""

    vms: list[Vm]


class RenewRequest(msgspec.Struct, frozen=True):
    """Asks a worker to extend leases and to forget ended attempts."""

    command: Command
    lease_seconds: float
    ended: list[TaskReport]


class StartRequest(msgspec.Struct, frozen=True):
    """Asks a worker to start tasks."""

    command: Command
    lease_seconds: float
    starts: list[TaskStart]


class StopRequest(msgspec.Struct, frozen=True):
    """Asks a worker to stop tasks."""

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
    """The body of every answer whose status is not 200."""

    kind: ProblemKind
    message: str
    verdict: Verdict = Verdict.NOT_RUN
