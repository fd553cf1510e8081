"""Rows that block the id of a refused or cancelled job, so that it is not stored later.

Such a row stands under the job's key and is not a job.  Its value cannot be taken for a
job, as it has none of a job's fields, nor for the `{}` of a job that has ended.

An attempt to store the job that got no answer may take effect seconds later, and its
caller may send it again.  The row is therefore kept for a time after the refusal, and
removed then by the leader.
"""

from __future__ import annotations

import msgspec

from cassiaweir.scheduling import PLACE_VALIDITY_S
from cassiaweir.types import MAX_UNIX_S, bounded_float

REFUSAL_PREFIX = b'{"refused":'

REFUSAL_VALIDITY_S = 120.0
"""An id stays blocked for this time at least.

No write is executed, and no submission repeated, that long after it was sent.
"""


class Refusal(msgspec.Struct, frozen=True, omit_defaults=True):
    """A refused submission, or a cancellation that found no job.

    `at` is when it was refused, and `turn_at` from when on a caller that returns is
    accepted.  Both are Unix times in seconds.  With `cancelled`, no submission replaces
    the row: its caller was told that there is no such job, or that it is cancelled.
    """

    customer: str = ""
    at: float = 0.0
    turn_at: float = 0.0
    cancelled: bool = False

    @property
    def validity_s(self) -> float:
        """How long the row is needed, from when it was written."""
        turn_in_s = bounded_float(self.turn_at - self.at, MAX_UNIX_S)
        return max(REFUSAL_VALIDITY_S, turn_in_s + PLACE_VALIDITY_S)


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
