"""Keys of the rows in which jobs and their results are stored.

A key has the form `table/part/key`.  The store runs the transactions of one part one
after the other, so jobs are spread over 16 parts by the last character of their id:
callers wait until their jobs are stored.  The rows that the leader writes are all in
the part `main`, as a transaction covers one part and includes the leader's guard row.
"""

from __future__ import annotations

from collections.abc import Iterable

from cassiaweir.jobs import MAIN_CHUNK, ChunkKey
from cassiaweir.types import Row

JOB_PARTS = tuple("0123456789abcdef")
JOB_PREFIXES = tuple(f"jobs/{part}/" for part in JOB_PARTS)
CANCEL_SUFFIX = ".cancel"
PROGRESS_PREFIX = "progress/main/"
OUTCOMES_PREFIX = "outcomes/main/"
SHRUNK_VALUE = b"{}"
"""The value of a job's row once the job has ended and nothing of it can run."""


def job_part(job_id: str) -> str:
    """Return the part of the `jobs` table in which a job is stored."""
    return job_id[-1].lower()


def job_key(job_id: str) -> str:
    """Return the key of the row that holds a job."""
    return f"jobs/{job_part(job_id)}/{job_id}"


def cancel_key(job_id: str) -> str:
    """Return the key of the row that requests the cancellation of a job."""
    return f"{job_key(job_id)}{CANCEL_SUFFIX}"


def outcome_key(job_id: str) -> str:
    """Return the key of the row that holds the final state of a job."""
    return f"{OUTCOMES_PREFIX}{job_id}"


def progress_key(job_id: str, chunk: ChunkKey) -> str:
    """Return the key of the row that holds the progress of a chunk of a job's tasks."""
    if chunk == MAIN_CHUNK:
        return f"{PROGRESS_PREFIX}{job_id}"
    occurrence, number = chunk
    return f"{PROGRESS_PREFIX}{job_id}.{occurrence}.{number}"


def progress_by_job(rows: Iterable[Row]) -> dict[str, dict[ChunkKey, bytes]]:
    """Return the values of progress rows by job id and chunk."""
    found: dict[str, dict[ChunkKey, bytes]] = {}
    for row in rows:
        job_id, chunk = _parse_progress_name(row_name(row.key))
        found.setdefault(job_id, {})[chunk] = row.value
    return found


def _parse_progress_name(name: str) -> tuple[str, ChunkKey]:
    job_id, _, rest = name.partition(".")
    occurrence, _, number = rest.partition(".")
    if not (occurrence.isdecimal() and number.isdecimal()):
        return job_id, MAIN_CHUNK
    return job_id, (int(occurrence), int(number))


def row_name(key: str) -> str:
    """Return the last segment of a key: the job id, with any suffix."""
    return key.rpartition("/")[2]
