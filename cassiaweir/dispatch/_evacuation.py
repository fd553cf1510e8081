"""Decides on which servers the leader may start tasks while domains are evacuated."""

from __future__ import annotations

import math
from collections.abc import Mapping
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

from loguru import logger

from cassiaweir.dispatch._server import Server
from cassiaweir.types import Clock

MAX_EVACUATIONS_AGE = timedelta(seconds=3)
"""Nothing starts by an older view of the requests.

The bound is that of the servers' entries.  An operator relies on no task starting in a
domain from 5 s after the request was stored; the rest is for orders on their way.
"""

GIVE_BACK_STEPS = 8
"""A domain that is given back is opened for starts in this many steps."""

GIVE_BACK_STEP_S = 0.5
"""The time between two steps.

Its servers are cold and empty, so a burst would otherwise go to them as a whole; after
3.5 s all of the domain's capacity is in use again.
"""


_OpenedSteps = dict[str, int]
"""The steps in which each domain that was given back lately was opened so far."""


class EvacuationSource(Protocol):
    """Provides the requests to evacuate failure domains."""

    @property
    def domains(self) -> frozenset[str]:
        """The domains whose evacuation is requested."""

    @property
    def given_back_at(self) -> Mapping[str, float]:
        """When requests were withdrawn, by domain, on the monotonic clock."""

    def is_evacuated(self, domain: str) -> bool:
        """Return whether the evacuation of `domain` is requested."""

    def age(self) -> timedelta:
        """Return how long ago the requests were current for sure."""


class NoEvacuations:
    """Implements `EvacuationSource` on a platform without evacuations."""

    domains: frozenset[str] = frozenset()
    given_back_at: Mapping[str, float] = {}

    def is_evacuated(self, domain: str) -> bool:
        """Return False for every domain."""
        return False

    def age(self) -> timedelta:
        """Return 0, as there is nothing to read."""
        return timedelta(0)


class StartPermit(StrEnum):
    """Whether a task may be started on a server."""

    GRANTED = "granted"
    EVACUATED = "evacuated"
    UNKNOWN = "unknown"
    """The requests are not known well enough to tell."""

    CANCELS_UNKNOWN = "cancels_unknown"
    """It is not known well enough which jobs are cancelled."""


class Evacuations:
    """Applies the requests of `source` to the `servers` of a leader."""

    def __init__(
        self, source: EvacuationSource, clock: Clock, servers: Mapping[str, Server]
    ) -> None:
        self._source = source
        self._clock = clock
        self._servers = servers
        self._current = True
        self._domains: frozenset[str] = frozenset()
        self._checked: frozenset[str] = frozenset()
        self._opened: tuple[_OpenedSteps, int] = ({}, 0)
        self._closed: frozenset[str] = frozenset()

    def permit(self, server: Server) -> StartPermit:
        """Return whether a task may be started on `server` now."""
        if self._source.age() > MAX_EVACUATIONS_AGE:
            return StartPermit.UNKNOWN
        if self._source.is_evacuated(server.entry.failure_domain):
            return StartPermit.EVACUATED
        return StartPermit.GRANTED

    def newly_evacuated_servers(self) -> set[str]:
        """Return the ids of the servers of domains requested since the last call."""
        domains = self._source.domains
        if domains is self._domains:
            return set()
        added, self._domains = domains - self._domains, domains
        return {
            server_id
            for server_id, server in self._servers.items()
            if server.entry.failure_domain in added
        }

    def usable(self, servers: list[Server], now: float) -> list[Server]:
        """Return those of `servers` where tasks may be placed at `now`."""
        if not self._check_age():
            return []
        domains = self._source.domains
        if domains:
            servers = [
                each for each in servers if each.entry.failure_domain not in domains
            ]
        closed = self._not_yet_opened(now)
        if closed:
            servers = [each for each in servers if each.server_id not in closed]
        return servers

    def warn_of_unknown_domains(self) -> None:
        """Log each requested domain without servers once.

        To be called once the servers' entries have been read.
        """
        domains = self._source.domains
        if domains is self._checked:
            return
        known = {each.entry.failure_domain for each in self._servers.values()}
        for domain in sorted(domains - self._checked - known):
            logger.warning("evacuation_unknown_domain", domain=domain)
        self._checked = domains

    def _check_age(self) -> bool:
        """Return whether the requests are known well enough to place tasks."""
        age = self._source.age()
        current = age <= MAX_EVACUATIONS_AGE
        if current != self._current:
            self._current = current
            logger.info(
                "evacuations_current" if current else "evacuations_too_old",
                age_ms=_milliseconds(age),
            )
        return current

    def _not_yet_opened(self, now: float) -> frozenset[str]:
        """Return the servers of domains given back lately that get no tasks yet."""
        opened: _OpenedSteps = {}
        for domain, at in self._source.given_back_at.items():
            steps = 1 + math.floor((now - at) / GIVE_BACK_STEP_S)
            if steps < GIVE_BACK_STEPS:
                opened[domain] = steps
        # The servers become known one after the other when a term begins.
        found = (opened, len(self._servers))
        if found != self._opened:
            self._opened = found
            self._closed = frozenset(
                server_id
                for domain, steps in opened.items()
                for server_id in self._after_steps(domain, steps)
            )
        return self._closed

    def _after_steps(self, domain: str, steps: int) -> list[str]:
        """Return the servers of a domain that are opened after the first `steps`."""
        ids = sorted(
            server_id
            for server_id, server in self._servers.items()
            if server.entry.failure_domain == domain
        )
        return ids[math.ceil(len(ids) * steps / GIVE_BACK_STEPS) :]


def _milliseconds(age: timedelta) -> int:
    """Return `age` in milliseconds, -1 if nothing was read yet."""
    return -1 if age == timedelta.max else round(age.total_seconds() * 1_000)
