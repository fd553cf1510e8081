"""Answers of the advice service: which servers may run a step, and with what ticket."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Advice:
    """Tickets by server id, and the seconds from the answer that they stay valid."""

    tickets: Mapping[str, str]
    valid_s: float


class Advisor(Protocol):
    """Asks the advice service from one machine, which is answered one call a time."""

    async def advise(
        self, step: str, server_ids: Sequence[str], timeout_s: float
    ) -> Advice:
        """Return the advice on `step`, or raise `UnavailableError`."""
