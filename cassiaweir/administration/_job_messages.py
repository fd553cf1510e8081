"""Messages about jobs."""

from __future__ import annotations

from datetime import datetime

from cassiaweir.administration._messages import Amount, Change, Message


class JobInfo(Message):
    """A job as it was submitted."""

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


class JobList(Message):
    """A page of jobs by name; `after` asks for the next one, or is empty."""

    jobs: list[JobInfo]
    after: str = ""


class JobPart(Message):
    """The part of a job in one shard; `answered` is false where its owner is silent."""

    shard: str
    answered: bool
    finished: bool
    queued: int = 0
    running: int = 0
    succeeded: int = 0
    failed: int = 0
    waiting_reason: str = ""


class JobDetail(Message):
    """A job, its parts, and why it waits, one sentence an entry."""

    job: JobInfo
    finished: bool
    parts: list[JobPart]
    waiting: list[str] = []


class CancelSelector(Change):
    """Selects the jobs of `team` whose names start with `prefix`.

    At least one of the two is given.
    """

    team: str = ""
    prefix: str = ""


class CancelledJobs(Message):
    """The jobs that are cancelled now, and those that could not be."""

    cancelled: list[str]
    failed: list[str]
