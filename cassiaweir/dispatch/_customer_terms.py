"""The newest caps of customers that the leader knows of, from whatever source."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from cassiaweir.jobs import JobSpec
from cassiaweir.queues import Customer, QueueConfiguration
from cassiaweir.types import Resources


class ConfigurationSource(Protocol):
    """Provides the configuration in force."""

    def current(self) -> QueueConfiguration:
        """Return the newest configuration that was read."""


@dataclass(frozen=True, slots=True)
class _SubmittedCap:
    """The cap of a customer by the version in which a VM accepted a job of it."""

    version: int
    cap: Resources


class CustomerTerms:
    """Finds the weight and cap of customers.

    The VM that accepts a job may have read a newer configuration than the leader, and
    operators may remove a customer whose jobs still wait.  So each job is stored with
    the cap at its submission, and the newest version counts.
    """

    def __init__(self, configuration: ConfigurationSource) -> None:
        self._configuration = configuration
        self._submitted: dict[str, _SubmittedCap] = {}

    def record(self, spec: JobSpec) -> None:
        """Record the cap with which a job was submitted, unless a newer one is known.

        Jobs stored by builds without it have version 0, and say nothing.
        """
        if not spec.customer or not spec.configuration:
            return
        known = self._submitted.get(spec.customer)
        if known is None or known.version < spec.configuration:
            self._submitted[spec.customer] = _SubmittedCap(spec.configuration, spec.cap)

    def of(self, name: str) -> Customer | None:
        """Return the customer `name`, or None if nothing is known of it."""
        current = self._configuration.current()
        configured = current.customers.get(name)
        submitted = self._submitted.get(name)
        if submitted is None:
            return configured
        if configured is not None and current.version >= submitted.version:
            return configured
        weight = configured.weight if configured is not None else 1.0
        return Customer(name, weight=weight, cap=submitted.cap)
