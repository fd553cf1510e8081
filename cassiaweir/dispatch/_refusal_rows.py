"""Rows that block the id of a refused job, so that no earlier attempt is stored.

A refusal row stands under the job's key and is not a job.  Its value cannot be taken
for a job, as it has none of a job's fields, nor for the `{}` of a job that has ended.
"""

from __future__ import annotations

import msgspec

REFUSAL_PREFIX = b'{"refused":'


class Refusal(msgspec.Struct, frozen=True):
    """A refused submission.

    `at` is when it was refused, and `turn_at` from when on a caller that returns is
    accepted.  Both are Unix times in seconds.
    """

    customer: str = ""
    at: float = 0.0
    turn_at: float = 0.0


class _RefusalRow(msgspec.Struct, frozen=True):
    refused: Refusal


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the value of a refusal row."""
    return msgspec.json.encode(_RefusalRow(refusal))


def decode_refusal(value: bytes) -> Refusal | None:
    """Return the refusal in the value of a row, None if the row is not a refusal row.

    A refusal row with unreadable details still blocks its id, but gives it no turn.
    """
    if not value.startswith(REFUSAL_PREFIX):
        return None
    try:
        return msgspec.json.decode(value, type=_RefusalRow).refused
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Refusal()
