"""The description of each route for the OpenAPI document."""

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

ADMIN_PREFIX = "/v1/admin"
ADMIN_READ_PROBLEMS = (400, 401, 429, 503)
ADMIN_CHANGE_PROBLEMS = (400, 401, 403, 409, 429, 503)
CALLER_PROBLEMS = (400, 401, 403, 404, 503)
REQUEST_PROBLEMS = (400, 401, 403, 404, 409, 413, 422, 429, 502, 503, 504)


@dataclass(frozen=True, slots=True)
class Operation:
    """One HTTP method of one path.

    `body` and `response` are the message types of the request and of a successful
    response, or None for plain bytes and text.  `status` is the status of a
    successful response, and `problems` are those of error responses.  `query` and
    `headers` name parameters.  `security` is `teamKey`, `operatorCredential` or
    empty.
    """

    method: str
    path: str
    summary: str
    response: Any = None
    body: Any = None
    status: int = 200
    query: tuple[str, ...] = ()
    headers: tuple[str, ...] = ()
    problems: tuple[int, ...] = ()
    security: str = ""
    tags: tuple[str, ...] = field(default=())


def _admin_read(
    path: str,
    summary: str,
    response: Any,
    query: tuple[str, ...] = (),
    extra_problems: tuple[int, ...] = (),
) -> Operation:
    """Return an administration operation that only reads.

    `extra_problems` are statuses in addition to `ADMIN_READ_PROBLEMS`.
    """
    return Operation(
        "get",
        ADMIN_PREFIX + path,
        summary,
        response,
        query=query,
        problems=tuple(sorted({*ADMIN_READ_PROBLEMS, *extra_problems})),
        security="operatorCredential",
        tags=("administration",),
    )


def _admin_change(
    method: str,
    path: str,
    summary: str,
    response: Any,
    body: Any = None,
    *,
    status: int = 200,
) -> Operation:
    """Return an administration operation that makes a change."""
    statuses = (
        {*ADMIN_CHANGE_PROBLEMS, 404} if "{" in path else set(ADMIN_CHANGE_PROBLEMS)
    )
    return Operation(
        method,
        ADMIN_PREFIX + path,
        summary,
        response,
        body,
        status,
        problems=tuple(sorted(statuses)),
        security="operatorCredential",
        tags=("administration",),
    )


def _caller_operation(
    method: str, path: str, summary: str, response: Any, **options: Any
) -> Operation:
    """Return an operation for callers; `options` are further `Operation` fields."""
    values = {"problems": CALLER_PROBLEMS, "security": "teamKey"} | options
    return Operation(method, path, summary, response, tags=("callers",), **values)


REQUEST_HEADERS = (
    "Cassiaweir-Queue",
    "Cassiaweir-Team",
    "Cassiaweir-Idempotent",
    "Cassiaweir-Urgency",
    "Cassiaweir-Deadline-Ms",
    "Idempotency-Key",
)

OPERATIONS: tuple[Operation, ...] = (
    Operation(
        "get",
        "/ready",
        "Readiness probe: 200 while ready, 503 once the gateway is stopping.",
    ),
    Operation(
        "get", "/metrics", "Show the metrics of the gateway that handles the call."
    ),
    _caller_operation(
        "post",
        "/v1/requests/{service}",
        "Send a request to a service and return the backend server's response.",
        None,
        headers=REQUEST_HEADERS,
        problems=REQUEST_PROBLEMS,
    ),
    _caller_operation(
        "post",
        "/v1/jobs",
        "Submit a job; repeating the call with the same job changes nothing.",
        JobRow,
        body=JobSpec,
        status=201,
        problems=(400, 401, 403, 404, 409, 413, 503),
    ),
    _caller_operation(
        "get",
        "/v1/jobs",
        "List the jobs of the team that owns the key.",
        JobPage,
        query=("prefix", "after", "limit"),
    ),
    _caller_operation(
        "get", "/v1/jobs/{job}", "Show a job of the team that owns the key.", JobStatus
    ),
    _caller_operation(
        "delete",
        "/v1/jobs/{job}",
        "Cancel a job of the team that owns the key.",
        JobRow,
    ),
    _admin_read("/status", "Show a summary of the state of the cell.", StatusReport),
    _admin_read("/operators", "List the operators.", OperatorList),
    _admin_change(
        "post",
        "/operators",
        "Add an operator; its credential is returned only once.",
        IssuedCredential,
        NewOperator,
        status=201,
    ),
    _admin_change("delete", "/operators/{name}", "Remove an operator.", OperatorList),
    _admin_read(
        "/keys",
        "List the keys by digest, with the time of their last use.",
        KeyList,
        ("team",),
    ),
    _admin_change(
        "post",
        "/keys",
        "Create a key for a team; its secret is returned only once.",
        IssuedKey,
        KeyGrant,
        status=201,
    ),
    _admin_change(
        "delete",
        "/keys/{prefix}",
        "Withdraw the key whose digest has this prefix; repeating changes nothing.",
        WithdrawnKey,
    ),
    _admin_read("/teams", "List the teams of the bundle in force.", TeamList),
    _admin_read("/queues", "List the queues of the bundle in force.", QueueList),
    _admin_read("/services", "List the services of the bundle in force.", ServiceList),
    _admin_read(
        "/vms", "List the VMs and backend servers with their conditions.", VmsReport
    ),
    _admin_change(
        "put",
        "/vms/{name}/condition",
        "Drain, quarantine or open a VM or a backend server.",
        VmInfo,
        ConditionChange,
    ),
    _admin_read("/shards", "List the shards and their owners.", ShardList),
    _admin_read(
        "/processes",
        "List the processes with the versions in force in each.",
        ProcessList,
    ),
    _admin_read(
        "/metrics",
        "Show the metrics of every process, or of `process`.",
        list[ProcessText],
        ("process",),
        (404,),
    ),
    _admin_read(
        "/audit",
        "List the newest entries of the audit record, oldest first.",
        AuditList,
        ("area", "operator", "limit"),
    ),
    _admin_read(
        "/timeline",
        "Show the events of all processes as text, or with format=trace as a trace.",
        TimelineReport,
        ("job", "request", "vm", "kinds", "since", "format"),
    ),
    _admin_read("/bundles", "List the versions of the bundle.", BundleList),
    _admin_change(
        "post",
        "/bundles",
        "Store a bundle as a new draft.",
        BundleInfo,
        BundleDraft,
        status=201,
    ),
    Operation(
        "post",
        f"{ADMIN_PREFIX}/bundles/check",
        "Report what a bundle would change and what of it needs confirmation.",
        CheckReport,
        BundleDraft,
        problems=ADMIN_READ_PROBLEMS,
        security="operatorCredential",
        tags=("administration",),
    ),
    _admin_read(
        "/bundles/status",
        "Show the bundle version in force and which processes have it.",
        BundleStatus,
    ),
    _admin_read(
        "/bundles/{version}",
        "Show a version with its full content.",
        BundleVersion,
        (),
        (404,),
    ),
    _admin_read(
        "/bundles/{version}/diff",
        "List the changes of a version from its base, or from `against`.",
        list[str],
        ("against",),
        (404,),
    ),
    _admin_read(
        "/bundles/{version}/check",
        "Report what a version would change and what of it needs confirmation.",
        CheckReport,
        (),
        (404,),
    ),
    _admin_change(
        "post",
        "/bundles/{version}/propose",
        "Submit a draft for review.",
        BundleInfo,
        ProposeChange,
    ),
    _admin_change(
        "post",
        "/bundles/{version}/review",
        "Approve or reject a proposed version.",
        BundleInfo,
        ReviewChange,
    ),
    _admin_change(
        "post",
        "/bundles/{version}/rollout",
        "Put an approved version in force.",
        BundleInfo,
        RolloutChange,
    ),
    _admin_change(
        "post",
        "/bundles/{version}/revert",
        "Put the content of an earlier version in force as a new version.",
        BundleInfo,
        RevertChange,
    ),
    _admin_read(
        "/jobs",
        "List the jobs of all teams.",
        JobList,
        ("prefix", "team", "queue", "after", "limit"),
    ),
    _admin_change(
        "post",
        "/jobs/cancel",
        "Cancel the jobs that match a team, a name prefix, or both.",
        CancelledJobs,
        CancelSelector,
    ),
    _admin_read(
        "/jobs/{job}",
        "Show a job, its parts, and why it is waiting.",
        JobDetail,
        (),
        (404,),
    ),
    _admin_change(
        "delete",
        "/jobs/{job}",
        "Cancel a job; repeating the call changes nothing.",
        JobInfo,
    ),
)
