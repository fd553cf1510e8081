"""What the OpenAPI document says of each route."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from cassiaweir.administration import (
    AuditList,
    BundleDraft,
    BundleInfo,
    BundleList,
    BundleStatus,
    CancelledJobs,
    CancelSelector,
    CheckReport,
    ConditionChange,
    IssuedCredential,
    IssuedKey,
    JobDetail,
    JobInfo,
    JobList,
    KeyGrant,
    KeyList,
    NewOperator,
    OperatorList,
    ProcessList,
    ProcessText,
    ProposeChange,
    QueueList,
    RevertChange,
    ReviewChange,
    RolloutChange,
    ServiceList,
    ShardList,
    StatusReport,
    TeamList,
    TimelineReport,
    VmInfo,
    VmsReport,
    WithdrawnKey,
)
from cassiaweir.configuration import BundleVersion
from cassiaweir.work import JobPage, JobRow, JobSpec, JobStatus

ADMIN = "/v1/admin"
ADMIN_STATUSES = (400, 401, 429, 503)
CHANGE_STATUSES = (400, 401, 403, 409, 429, 503)
CALLER_STATUSES = (400, 401, 403, 404, 503)
REQUEST_STATUSES = (400, 401, 403, 404, 409, 413, 422, 429, 502, 503, 504)


@dataclass(frozen=True, slots=True)
class Operation:
    """One method of one path.

    `body` and `answer` are the types of the messages, or None for plain bytes and
    text; `problems` are the statuses of its problem bodies.  `security` is
    `teamKey`, `operatorCredential` or empty.
    """

    method: str
    path: str
    summary: str
    answer: Any = None
    body: Any = None
    status: int = 200
    query: tuple[str, ...] = ()
    headers: tuple[str, ...] = ()
    problems: tuple[int, ...] = ()
    security: str = ""
    tags: tuple[str, ...] = field(default=())


def _read(
    path: str,
    summary: str,
    answer: Any,
    query: tuple[str, ...] = (),
    also: tuple[int, ...] = (),
) -> Operation:
    """Return a reading operation of the administration."""
    return Operation(
        "get",
        ADMIN + path,
        summary,
        answer,
        query=query,
        problems=tuple(sorted({*ADMIN_STATUSES, *also})),
        security="operatorCredential",
        tags=("administration",),
    )


def _change(
    method: str,
    path: str,
    summary: str,
    answer: Any,
    body: Any = None,
    *,
    status: int = 200,
) -> Operation:
    """Return a changing operation of the administration."""
    statuses = {*CHANGE_STATUSES, 404} if "{" in path else set(CHANGE_STATUSES)
    return Operation(
        method,
        ADMIN + path,
        summary,
        answer,
        body,
        status,
        problems=tuple(sorted(statuses)),
        security="operatorCredential",
        tags=("administration",),
    )


def _caller(
    method: str, path: str, summary: str, answer: Any, **more: Any
) -> Operation:
    """Return an operation of callers."""
    values = {"problems": CALLER_STATUSES, "security": "teamKey"} | more
    return Operation(method, path, summary, answer, tags=("callers",), **values)


REQUEST_HEADERS = (
    "Cassiaweir-Queue",
    "Cassiaweir-Team",
    "Cassiaweir-Idempotent",
    "Cassiaweir-Urgency",
    "Cassiaweir-Deadline-Ms",
    "Idempotency-Key",
)

OPERATIONS: tuple[Operation, ...] = (
    Operation("get", "/ready", "Tell the balancer whether to send callers here."),
    Operation("get", "/metrics", "Show the metrics of the answering process."),
    _caller(
        "post",
        "/v1/requests/{service}",
        "Send a request to a service; the answer is the backend server's own.",
        None,
        headers=REQUEST_HEADERS,
        problems=REQUEST_STATUSES,
    ),
    _caller(
        "post",
        "/v1/jobs",
        "Submit a job; a repeat under the same name changes nothing.",
        JobRow,
        body=JobSpec,
        status=201,
        problems=(400, 401, 403, 404, 409, 413, 503),
    ),
    _caller(
        "get",
        "/v1/jobs",
        "List the jobs of the key's team.",
        JobPage,
        query=("prefix", "after", "limit"),
    ),
    _caller("get", "/v1/jobs/{job}", "Show a job of the key's team.", JobStatus),
    _caller("delete", "/v1/jobs/{job}", "Cancel a job of the key's team.", JobRow),
    _read("/status", "Show the cell on one screen.", StatusReport),
    _read("/operators", "List the operators.", OperatorList),
    _change(
        "post",
        "/operators",
        "Add an operator; the credential is shown this once.",
        IssuedCredential,
        NewOperator,
        status=201,
    ),
    _change("delete", "/operators/{name}", "Remove an operator.", OperatorList),
    _read("/keys", "List keys by digest, with their last use.", KeyList, ("team",)),
    _change(
        "post",
        "/keys",
        "Grant a key to a team; its secret is shown this once.",
        IssuedKey,
        KeyGrant,
        status=201,
    ),
    _change(
        "delete",
        "/keys/{prefix}",
        "Withdraw the key whose digest starts so; a repeat changes nothing.",
        WithdrawnKey,
    ),
    _read("/teams", "List the teams in force.", TeamList),
    _read("/queues", "List the queues in force.", QueueList),
    _read("/services", "List the services in force.", ServiceList),
    _read("/vms", "List VMs and backend servers with their conditions.", VmsReport),
    _change(
        "put",
        "/vms/{name}/condition",
        "Drain, quarantine or open a VM or a backend server.",
        VmInfo,
        ConditionChange,
    ),
    _read("/shards", "List the shards and their owners.", ShardList),
    _read("/processes", "List the versions in force in each process.", ProcessList),
    _read(
        "/metrics",
        "Show the metrics of every process, or of one.",
        list[ProcessText],
        ("process",),
        (404,),
    ),
    _read(
        "/audit",
        "List the newest changes that took effect.",
        AuditList,
        ("area", "operator", "limit"),
    ),
    _read(
        "/timeline",
        "Show the merged events; with format=trace as a trace-viewer file.",
        TimelineReport,
        ("job", "request", "vm", "kinds", "since", "format"),
    ),
    _read("/bundles", "List the versions of the bundle.", BundleList),
    _change(
        "post",
        "/bundles",
        "Store a bundle as a new draft.",
        BundleInfo,
        BundleDraft,
        status=201,
    ),
    Operation(
        "post",
        f"{ADMIN}/bundles/check",
        "Compare a bundle with what is in force and what runs.",
        CheckReport,
        BundleDraft,
        problems=ADMIN_STATUSES,
        security="operatorCredential",
        tags=("administration",),
    ),
    _read("/bundles/status", "Show which processes have the head.", BundleStatus),
    _read("/bundles/{version}", "Show a version whole.", BundleVersion, (), (404,)),
    _read(
        "/bundles/{version}/diff",
        "Show what a version changes.",
        list[str],
        ("against",),
        (404,),
    ),
    _read(
        "/bundles/{version}/check",
        "Compare a version with what is in force and what runs.",
        CheckReport,
        (),
        (404,),
    ),
    _change(
        "post",
        "/bundles/{version}/propose",
        "Ask for the review of a draft.",
        BundleInfo,
        ProposeChange,
    ),
    _change(
        "post",
        "/bundles/{version}/review",
        "Approve or reject a proposed version.",
        BundleInfo,
        ReviewChange,
    ),
    _change(
        "post",
        "/bundles/{version}/rollout",
        "Put an approved version in force.",
        BundleInfo,
        RolloutChange,
    ),
    _change(
        "post",
        "/bundles/{version}/revert",
        "Put the content of an earlier version in force as a new version.",
        BundleInfo,
        RevertChange,
    ),
    _read(
        "/jobs",
        "List the jobs of all teams.",
        JobList,
        ("prefix", "team", "queue", "after", "limit"),
    ),
    _change(
        "post",
        "/jobs/cancel",
        "Cancel the jobs of a team, or those whose names start alike.",
        CancelledJobs,
        CancelSelector,
    ),
    _read("/jobs/{job}", "Show a job and why it waits.", JobDetail, (), (404,)),
    _change(
        "delete", "/jobs/{job}", "Cancel a job; a repeat changes nothing.", JobInfo
    ),
)
