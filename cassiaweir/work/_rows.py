"""Keys and decoding of the rows that store jobs, parts and outcomes of parts."""

from __future__ import annotations

import msgspec

from cassiaweir.types import Row
from cassiaweir.work._models import JobRow, PartRow

JOB_PREFIX = "job/"


class DoneRow(msgspec.Struct, frozen=True):
    """The row `done/<job>/<shard>`: the number of tasks of a part by outcome."""

    job: str
    team: str
    succeeded: int
    failed: int
    cancelled: bool


def job_key(job: str) -> str:
    """Return the key of the row of `job`."""
    return f"{JOB_PREFIX}{job}"


def part_prefix(shard: str) -> str:
    """Return the prefix of the keys of all parts in `shard`."""
    return f"part/{shard}/"


def part_key(shard: str, job: str) -> str:
    """Return the key of the part of `job` in `shard`."""
    return part_prefix(shard) + job


def done_key(job: str, shard: str) -> str:
    """Return the key of the outcome of the finished part of `job` in `shard`."""
    return f"done/{job}/{shard}"


def decode_part(row: Row) -> PartRow:
    """Decode the part stored in `row`."""
    return msgspec.json.decode(row.value, type=PartRow)


def decode_job(row: Row) -> JobRow:
    """Decode the job stored in `row`."""
    return msgspec.json.decode(row.value, type=JobRow)


def decode_done(row: Row) -> DoneRow:
    """Decode the outcome of a part stored in `row`."""
    return msgspec.json.decode(row.value, type=DoneRow)
