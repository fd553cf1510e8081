"""Chooses the servers to name in a question to the advice service."""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Sequence

from cassiaweir.dispatch._placement import Candidate
from cassiaweir.dispatch._server import Server

MAX_SERVERS_PER_QUESTION = 100

SERVERS_PER_QUESTION = 20
"""Questions about a gang name about as many servers, if VMs are idle to ask them.

At 6.5 ms a server, 20 of them add less than a third to the time of a question.
"""

MIN_SAMPLED_SERVERS = 24
SAMPLED_SERVERS_PER_TASK = 2
"""The servers to ask about are chosen among this many of those that have room.

The cost of a question then does not grow with the number of servers.
"""

MAX_QUESTIONS_AT_ONCE = 4
"""At most this many VMs are used for one gang at a time."""

CONFIDENCE_DEVIATIONS = 1.5
"""The expected room less this many standard deviations must be enough for all tasks."""

PRIOR_SHARE = 0.5
"""The share of allowed servers that is assumed before the first answer."""

PRIOR_SERVERS = 20
"""The number of servers asked about that the assumed share counts for."""


class AllowedShare:
    """Estimates the share of servers that the advice service allows."""

    def __init__(self) -> None:
        self._asked = PRIOR_SERVERS
        self._allowed = PRIOR_SHARE * PRIOR_SERVERS

    @property
    def value(self) -> float:
        """The share, between 0 and 1."""
        return self._allowed / self._asked

    def record(self, asked: int, allowed: int) -> None:
        """Add an answer that allowed `allowed` of `asked` servers."""
        self._asked += asked
        self._allowed += allowed


def sample_servers(
    servers: Sequence[Server], tasks: int, step: str
) -> Sequence[Server]:
    """Return an even sample of `servers` that is large enough for `tasks` tasks.

    Samples for different steps differ, so that steps which are asked about at the same
    time do not all find the same servers taken.
    """
    wanted = MIN_SAMPLED_SERVERS + SAMPLED_SERVERS_PER_TASK * tasks
    count = min(wanted, MAX_SERVERS_PER_QUESTION)
    total = len(servers)
    if count >= total:
        return servers
    offset = zlib.crc32(step.encode()) % total
    return [
        servers[(offset + index * total // count) % total] for index in range(count)
    ]


def servers_to_ask(
    candidates: Sequence[Candidate], tasks: int, share: float
) -> list[str]:
    """Return the ids of the first candidates that likely have room for `tasks` tasks.

    Each of them is allowed with the probability `share`.
    """
    chosen: list[str] = []
    mean = variance = 0.0
    for candidate in candidates[:MAX_SERVERS_PER_QUESTION]:
        if mean - CONFIDENCE_DEVIATIONS * math.sqrt(variance) >= tasks:
            break
        chosen.append(candidate.server.server_id)
        slots = min(candidate.slots, tasks)
        mean += slots * share
        variance += slots * slots * share * (1 - share)
    return chosen


def split_servers(server_ids: Sequence[str], lanes: int) -> list[list[str]]:
    """Divide servers into questions that are answered at the same time.

    There are at most `lanes` of them, and at least one.
    """
    wanted = math.ceil(len(server_ids) / SERVERS_PER_QUESTION)
    count = max(min(wanted, lanes, MAX_QUESTIONS_AT_ONCE), 1)
    most = count * MAX_SERVERS_PER_QUESTION
    return [list(server_ids[:most][first::count]) for first in range(count)]


def exclude_servers(
    candidates: Iterable[Candidate], server_ids: frozenset[str]
) -> list[Candidate]:
    """Return the candidates whose servers are not in `server_ids`."""
    return [each for each in candidates if each.server.server_id not in server_ids]
