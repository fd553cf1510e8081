"""Where the rows of jobs lie.

Jobs are spread over parts by their id, since a part takes one transaction after the
other and callers wait for theirs.  What the leader writes lies in one part, which its
transactions share with their guard row.
"""

from __future__ import annotations

JOB_PARTS = tuple("0123456789abcdef")
JOB_PREFIXES = tuple(f"jobs/{part}/" for part in JOB_PARTS)
CANCEL_SUFFIX = ".cancel"
PROGRESS_PREFIX = "progress/main/"
OUTCOMES_PREFIX = "outcomes/main/"


def job_part(job_id: str) -> str:
    """Return the part in which a job lies."""
    return job_id[-1].lower()


def job_key(job_id: str) -> str:
    """Return the key of the row that holds a job."""
    return f"jobs/{job_part(job_id)}/{job_id}"


def cancel_key(job_id: str) -> str:
    """Return the key of the row that asks for a job's cancelling."""
    return f"{job_key(job_id)}{CANCEL_SUFFIX}"


def outcome_key(job_id: str) -> str:
    """Return the key of the row that tells how a job ended."""
    return f"{OUTCOMES_PREFIX}{job_id}"


def own_key(key: str) -> str:
    """Return the last part of a row's key."""
    return key.rpartition("/")[2]
