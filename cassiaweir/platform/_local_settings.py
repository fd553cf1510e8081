"""The settings file that the platform writes for each process."""

from __future__ import annotations

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from cassiaweir.exceptions import SettingsError

PATH_VARIABLE = "CASSIAWEIR_CONFIG"
DEFAULT_PATH = Path("/etc/cassiaweir/local.toml")


class _Listen(msgspec.Struct):
    front: str
    ready: str
    control: str


class _Limits(msgspec.Struct):
    cpu_share: float = 1.0
    cores: float = 1.0
    """How many times as fast as one core the processor is, not how many it has."""


class _Bounds(msgspec.Struct):
    revoke_ms: float = 5_000


class _Platform(msgspec.Struct):
    addr: str


class _File(msgspec.Struct):
    node: str
    zone: str
    listen: _Listen
    platform: _Platform
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    seeds: list[str] = []
    hint: str = ""


@dataclass(frozen=True, slots=True)
class LocalSettings:
    """What the platform tells a process about itself.

    Addresses are host:port.  `advice_address` is empty where no advice is offered.
    Durations are in seconds.  `cores` is the VM's processor in cores of usual speed.
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


def local_settings_path() -> Path:
    """Return where the platform puts the settings file of this process."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load_local_settings(path: Path) -> LocalSettings:
    """Read the file at `path`; fields that are not known here are ignored.

    Raises `SettingsError` naming the file and the field at fault.
    """
    try:
        fields: dict[str, Any] = tomllib.loads(path.read_text())
        found = msgspec.convert(fields, _File)
    except (OSError, ValueError) as exc:
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
        cores=found.limits.cpu_share * found.limits.cores,
    )
