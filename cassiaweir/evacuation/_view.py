"""The requests to evacuate a failure domain that this process has read."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from loguru import logger

from cassiaweir.observe import Metrics
from cassiaweir.types import Clock, Row

MAX_REMEMBERED_WITHDRAWALS = 64
"""The oldest withdrawals beyond this number are forgotten, to bound the memory."""


class EvacuationView:
    """Keeps the failure domains whose evacuation is requested.

    As a row listener, it reads the rows under `prefix`.  The rest of a row's key is the
    name of the domain, and the presence of the row is the request; its value has no
    meaning.
    """

    def __init__(self, prefix: str, clock: Clock, metrics: Metrics) -> None:
        self._prefix = prefix
        self._clock = clock
        self._metrics = metrics
        self._domains: frozenset[str] = frozenset()
        self._given_back_at: dict[str, float] = {}
        self._report_count()

    @property
    def domains(self) -> frozenset[str]:
        """The domains whose evacuation is requested."""
        return self._domains

    @property
    def given_back_at(self) -> Mapping[str, float]:
        """When requests were withdrawn, by domain, on the monotonic clock.

        Domains that are evacuated again are left out.
        """
        return MappingProxyType(self._given_back_at)

    def is_evacuated(self, domain: str) -> bool:
        """Return whether the evacuation of `domain` is requested."""
        return domain in self._domains

    def on_row(self, key: str, row: Row | None) -> None:
        """Apply the new row at `key`, None if it was removed."""
        if not key.startswith(self._prefix):
            return
        domain = key.removeprefix(self._prefix)
        if not domain:
            if row is not None:
                logger.warning("evacuation_unknown_domain", domain="", key=key)
            return
        if row is not None:
            self._request(domain)
        else:
            self._withdraw(domain)

    def _request(self, domain: str) -> None:
        if domain in self._domains:
            return
        self._domains |= {domain}
        self._given_back_at.pop(domain, None)
        self._report_count()
        logger.info("evacuation_requested", domain=domain, evacuated=self._text())

    def _withdraw(self, domain: str) -> None:
        if domain not in self._domains:
            return
        self._domains -= {domain}
        self._given_back_at[domain] = self._clock.monotonic()
        while len(self._given_back_at) > MAX_REMEMBERED_WITHDRAWALS:
            del self._given_back_at[next(iter(self._given_back_at))]
        self._report_count()
        logger.info("evacuation_withdrawn", domain=domain, evacuated=self._text())

    def _text(self) -> str:
        return ",".join(sorted(self._domains))

    def _report_count(self) -> None:
        self._metrics.set("evacuated_domains", len(self._domains))
