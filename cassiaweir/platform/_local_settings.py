"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import tomllib
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any

import msgspec

from cassiaweir.exceptions import SettingsError
from cassiaweir.http_limits import (
    DEFAULT_LIMITS,
    HttpOverrides,
    ProcessLimits,
    derive_limits,
)

PATH_VARIABLE = "CASSIAWEIR_CONFIG"
DEFAULT_PATH = Path("/etc/cassiaweir/local.toml")


class _Listen(msgspec.Struct):
    """Addresses to listen on, as host:port."""

    # For requests of callers.
    front: str
    # For the load balancer's readiness checks.
    ready: str
    # For calls of other entry VMs.
    control: str


class _Limits(msgspec.Struct):
    # The fraction of the processor that the VM gets.
    cpu_share: float = 1.0
    # The speed of the processor as a multiple of one standard core; this is not the
    # number of its cores.
    cores: float = 1.0
    # With more memory, in MB, or more descriptors the process is ended; 0: not known.
    memory_mb: Annotated[float, msgspec.Meta(ge=0)] = 0
    max_fds: Annotated[int, msgspec.Meta(ge=0)] = 0


class _Bounds(msgspec.Struct):
    # The time within which a withdrawn key must no longer be accepted.
    revoke_ms: float = 5_000
    # Servers shorten longer leases to this time.
    hold_max_ms: Annotated[float, msgspec.Meta(gt=0)] = 6_000
    # What a customer may submit in any time of this length is limited by its weight.
    quota_window_s: float = 1.0
    # The share by which it may exceed that, and jobs that it may submit beyond.
    quota_overage: float = 0.0
    quota_slack: int = 0


class _Platform(msgspec.Struct):
    # The address of the platform's store.
    addr: str
    # The largest value of a row, if it is known.
    row_bytes: Annotated[int, msgspec.Meta(ge=1)] | None = None


class _File(msgspec.Struct):
    node: str
    zone: str
    listen: _Listen
    platform: _Platform
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Replaces limits of the HTTP listeners that follow from `limits`.
    http: HttpOverrides = msgspec.field(default_factory=HttpOverrides)
    # Addresses of other entry VMs.
    seeds: list[str] = []
    # The address of the advice service, or empty.
    hint: str = ""


@dataclass(frozen=True, slots=True)
class LocalSettings:
    """The settings of a process on an entry VM, as the platform wrote them.

    `node` is the name of the VM.  Addresses are host:port.  `advice_address` is empty
    where the platform has no advice service.  `key_withdrawal_s` is the time within
    which a withdrawn key must no longer be accepted.  `cores` is the processing power
    of the VM in standard cores, which need not be a whole number.  In any time of
    `share_window_s` a customer may submit the jobs that its weight allows, the share
    `share_overage` and `share_slack` jobs more.  Servers shorten leases to
    `longest_lease`.  The store takes rows of up to `max_row_bytes`, None if that is
    not known.  `http_limits` bounds what HTTP clients may use of the process.
    """

    node: str
    failure_domain: str
    front_address: str
    ready_address: str
    peer_address: str
    seed_addresses: tuple[str, ...]
    store_address: str
    advice_address: str
    key_withdrawal_s: float
    cores: float = 1.0
    share_window_s: float = 1.0
    share_overage: float = 0.0
    share_slack: int = 0
    longest_lease: timedelta = timedelta(seconds=6)
    max_row_bytes: int | None = None
    http_limits: ProcessLimits = DEFAULT_LIMITS


def local_settings_path() -> Path:
    """Return the path of the settings file, which the environment may override."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load_local_settings(path: Path) -> LocalSettings:
    """Read the settings file at `path`, ignoring unknown fields.

    Raises `SettingsError` with a message that names the file and the invalid field.
    """
    try:
        fields: dict[str, Any] = tomllib.loads(path.read_text())
        found = msgspec.convert(fields, _File)
        limits = found.limits
        http_limits = derive_limits(limits.memory_mb, limits.max_fds, found.http)
    except (OSError, ValueError, SettingsError) as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    bounds = found.bounds
    return LocalSettings(
        node=found.node,
        failure_domain=found.zone,
        front_address=found.listen.front,
        ready_address=found.listen.ready,
        peer_address=found.listen.control,
        seed_addresses=tuple(found.seeds),
        store_address=found.platform.addr,
        advice_address=found.hint,
        key_withdrawal_s=bounds.revoke_ms / 1_000,
        cores=limits.cpu_share * limits.cores,
        share_window_s=bounds.quota_window_s,
        share_overage=bounds.quota_overage,
        share_slack=bounds.quota_slack,
        longest_lease=timedelta(milliseconds=bounds.hold_max_ms),
        max_row_bytes=found.platform.row_bytes,
        http_limits=http_limits,
    )
