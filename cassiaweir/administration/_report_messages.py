"""Messages about the audit log, the timeline of events and the state of the cell."""

from __future__ import annotations

from datetime import datetime

from cassiaweir.administration._access_messages import TeamInfo
from cassiaweir.administration._fleet_messages import ProcessInfo, ShardInfo
from cassiaweir.administration._messages import ResponseMessage


class AuditInfo(ResponseMessage):
    """An entry of the audit log: a change that took effect.

    `area` is the kind of thing that was changed, such as `jobs` or `vms`, and `version`
    the version that the change gave to it, 0 if it has none.  `digest` is that of the
    bundle or key concerned.
    """

    at: str
    operator: str
    action: str
    area: str
    version: int
    digest: str = ""
    detail: str = ""
    outcome: str = "done"


class AuditList(ResponseMessage):
    """The newest entries of the audit log, the oldest of them first."""

    entries: list[AuditInfo]


class TimelineReport(ResponseMessage):
    """The merged events of all processes, one line each.

    `silent` names the processes that returned no events.
    """

    lines: list[str]
    silent: list[str]


class StatusReport(ResponseMessage):
    """An overview of the cell.

    `refusals` is the number of refused requests by reason, summed over the processes
    that answered.
    """

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
