"""Messages about jobs."""

from __future__ import annotations

from datetime import datetime

from cassiaweir.administration._messages import Amount, RequestMessage, ResponseMessage


class JobInfo(ResponseMessage):
    """A job as it was submitted.

    `size` is what each of its tasks needs, and `shards` are those that its tasks were
    assigned to.
    """

    job: str
    team: str
    queue: str
    kind: str
    urgency: str
    tasks: int
    size: Amount
    submitted_at: datetime
    shards: list[str]
    cancelled: bool


class JobList(ResponseMessage):
    """A page of jobs, in the order of their names.

    A request with this value of `after` returns the next page; it is empty on the last
    page.
    """

    jobs: list[JobInfo]
    after: str = ""


class JobPart(ResponseMessage):
    """The part of a job in one shard, with its tasks counted by state.

    `answered` is false if the owner of the shard did not answer; the counts are then 0.
    """

    shard: str
    answered: bool
    finished: bool
    queued: int = 0
    running: int = 0
    succeeded: int = 0
    failed: int = 0
    waiting_reason: str = ""


class JobDetail(ResponseMessage):
    """A job, its parts, and the reasons why it waits, one in each entry."""

    job: JobInfo
    finished: bool
    parts: list[JobPart]
    waiting: list[str] = []


class CancelSelector(RequestMessage):
    """Selects the jobs of `team` whose names start with `prefix`.

    At least one of the two must be given; an empty one matches every job.
    """

    team: str = ""
    prefix: str = ""


class CancelledJobs(ResponseMessage):
    """The names of the jobs that were cancelled, and of those that could not be."""

    cancelled: list[str]
    failed: list[str]
