"""The composition root: wires the parts of each role."""

from __future__ import annotations

import secrets

from cassiaweir.clock import SystemClock
from cassiaweir.observe import EventLog, configure_logs
from cassiaweir.process import Component, Process, run_process
from cassiaweir.settings import Settings

PROCESS_SUFFIX_BYTES = 4


def process_name(settings: Settings, role: str) -> str:
    """Return a name that no other start of any process has."""
    return f"{settings.vm_name}.{role}.{secrets.token_hex(PROCESS_SUFFIX_BYTES)}"


def run_gateway(settings: Settings) -> None:
    """Run the gateway of an entry VM until a signal stops it."""
    run_process(lambda: build_gateway(settings))


def run_scheduler(settings: Settings) -> None:
    """Run the scheduler of an entry VM until a signal stops it."""
    run_process(lambda: build_scheduler(settings))


def build_gateway(settings: Settings) -> Process:
    """Wire the gateway."""
    process = process_name(settings, "gateway")
    configure_logs(process, settings.log_level)
    components: list[Component] = []
    return Process(components, EventLog(process, SystemClock()))


def build_scheduler(settings: Settings) -> Process:
    """Wire the scheduler."""
    process = process_name(settings, "scheduler")
    configure_logs(process, settings.log_level)
    components: list[Component] = []
    return Process(components, EventLog(process, SystemClock()))
