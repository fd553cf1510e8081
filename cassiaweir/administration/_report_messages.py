"""Messages about the record of changes, the time line and the state of the cell."""

from __future__ import annotations

from datetime import datetime

from cassiaweir.administration._access_messages import TeamInfo
from cassiaweir.administration._fleet_messages import ProcessInfo, ShardInfo
from cassiaweir.administration._messages import Message


class AuditInfo(Message):
    """A change that took effect."""

    at: str
    operator: str
    action: str
    area: str
    version: int
    digest: str = ""
    detail: str = ""
    outcome: str = "done"


class AuditList(Message):
    """The newest changes, oldest first."""

    entries: list[AuditInfo]


class TimelineReport(Message):
    """Merged events as text or for a trace viewer, and who gave none."""

    lines: list[str]
    silent: list[str]


class StatusReport(Message):
    """The cell on one screen; `refusals` counts by reason in the answering gateway."""

    at: datetime
    deployment: str
    table_reachable: bool
    bundle_version: int
    bundle_digest: str
    keys_version: int
    processes: list[ProcessInfo]
    shards: list[ShardInfo]
    teams: list[TeamInfo]
    refusals: dict[str, int] = {}
