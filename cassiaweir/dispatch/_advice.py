"""Answers of the advice service, which decides on which servers a step may run."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Advice:
    """The servers that a step may run on.

    `tickets` holds, by id of an allowed server, the ticket that a start there needs.
    The tickets are valid for `valid_s` seconds from the answer.
    """

    tickets: Mapping[str, str]
    valid_s: float


class Advisor(Protocol):
    """Calls the advice service from one VM.

    The service answers the calls of a VM one at a time.
    """

    async def advise(
        self, step: str, server_ids: Sequence[str], timeout_s: float
    ) -> Advice:
        """Return which of `server_ids` may run `step`, or raise `UnavailableError`."""
