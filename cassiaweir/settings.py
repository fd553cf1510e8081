"""The settings of a process, defined by one table of options.

The sources, each of which overrides those before it, are the defaults, the TOML file,
the environment (`CASSIAWEIR_SECTION_NAME`) and `--set section.name=value`.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

from cassiaweir._option_values import (
    parse_address,
    parse_addresses,
    parse_count,
    parse_digest,
    parse_duration,
    parse_flag,
    parse_name,
    parse_names,
)
from cassiaweir.exceptions import SettingsError

ENVIRONMENT_PREFIX = "CASSIAWEIR_"

MIN_BYTES_IN_FLIGHT = 1_048_576
"""The least that `gateway.max_bytes_in_flight` may be, so that buffers fit too."""


@dataclass(frozen=True, slots=True)
class Option:
    """The definition of one setting.

    `key` is `section.name`.  `parse` converts and checks a value from any source, the
    default included, and raises `ValueError` if it is malformed.  A `default` of None
    makes the option required.  `help` describes the option in error messages.
    """

    key: str
    parse: Callable[[object], Any]
    default: object
    help: str

    @property
    def attribute(self) -> str:
        """The name of the attribute of `Settings` that holds the value."""
        return self.key.replace(".", "_")

    @property
    def variable(self) -> str:
        """The name of the environment variable that sets the option."""
        return ENVIRONMENT_PREFIX + self.attribute.upper()


OPTIONS = (
    Option("vm.name", parse_name, None, "name of the entry VM"),
    Option("vm.failure_domain", parse_name, None, "failure domain of the entry VM"),
    Option("vm.deployment", parse_name, None, "deployment that the entry VM serves"),
    Option("gateway.listen", parse_address, "127.0.0.1:7200", "HTTP API address"),
    Option("gateway.rpc", parse_address, "127.0.0.1:7201", "gateway gRPC address"),
    Option("gateway.max_body_bytes", parse_count, 1_048_576, "maximum request body"),
    Option(
        "gateway.max_bytes_in_flight",
        parse_count,
        32 * 1_048_576,
        "maximum bytes kept for the requests of all connections",
    ),
    Option(
        "gateway.max_connections", parse_count, 1_024, "maximum open HTTP connections"
    ),
    Option("gateway.request_timeout", parse_duration, "10s", "maximum request time"),
    Option(
        "gateway.drain_notice",
        parse_duration,
        "2s",
        "time to serve on after reporting unready, before the drain",
    ),
    Option("gateway.drain_limit", parse_duration, "30s", "maximum time to drain"),
    Option("rpc.max_connections", parse_count, 512, "maximum open gRPC connections"),
    Option("scheduler.rpc", parse_address, "127.0.0.1:7202", "scheduler gRPC address"),
    Option("scheduler.shards_per_domain", parse_count, 1, "shards per failure domain"),
    Option("scheduler.shard_lease", parse_duration, "6s", "duration of a shard lease"),
    Option("scheduler.shard_renewal", parse_duration, "2s", "shard renewal interval"),
    Option("scheduler.task_lease", parse_duration, "20s", "duration of a task lease"),
    Option("scheduler.task_renewal", parse_duration, "5s", "task renewal interval"),
    Option(
        "scheduler.command_expiry",
        parse_duration,
        "2s",
        "age above which workers refuse a command",
    ),
    Option(
        "scheduler.clock_drift",
        parse_duration,
        "50ms",
        "maximum drift between two clocks during a lease",
    ),
    Option(
        "scheduler.autonomy",
        parse_duration,
        "30m",
        "time for which a shard's owner renews task leases without the table",
    ),
    Option(
        "scheduler.workers_fence",
        parse_flag,
        True,
        "whether workers refuse commands of old epochs",
    ),
    Option("platform.table", parse_address, None, "address of the table service"),
    Option("platform.objects", parse_address, None, "address of the object store"),
    Option("platform.vms", parse_address, None, "address of the VM list"),
    Option("platform.timeout", parse_duration, "1s", "platform call time-out"),
    Option("platform.poll", parse_duration, "500ms", "table polling interval"),
    Option("platform.vm_poll", parse_duration, "1s", "VM list polling interval"),
    Option("cell.failure_domains", parse_names, None, "all failure domains"),
    Option("cell.seeds", parse_addresses, [], "gRPC addresses of some peers"),
    Option(
        "cell.view_age_limit",
        parse_duration,
        "3s",
        "age of the configuration above which keys are refused",
    ),
    Option("cell.heartbeat", parse_duration, "500ms", "heartbeat interval"),
    Option(
        "cell.first_operator_digest",
        parse_digest,
        "",
        "SHA-256 digest of the first operator's credential",
    ),
    Option("retention.jobs", parse_duration, "7d", "time to keep finished jobs"),
    Option("retention.claims", parse_duration, "3d", "time to keep settled claims"),
    Option(
        "retention.watch",
        parse_duration,
        "1h",
        "time for which a process must see a row unchanged before removing it",
    ),
    Option(
        "retention.bundles",
        parse_count,
        100,
        "number of newest bundle versions to keep",
    ),
    Option(
        "retention.rows_per_second",
        parse_count,
        3,
        "maximum rows that a scheduler reads per second",
    ),
    Option("log.level", parse_name, "info", "debug, info, warning or error"),
)

OPTIONS_BY_KEY = {option.key: option for option in OPTIONS}


class Settings:
    """The validated settings of one process.

    Each option of `OPTIONS` is an attribute, with `_` in place of the dot.  `sources`
    maps the key of each option to the source of its value.
    """

    vm_name: str
    vm_failure_domain: str
    vm_deployment: str
    gateway_listen: str
    gateway_rpc: str
    gateway_max_body_bytes: int
    gateway_max_bytes_in_flight: int
    gateway_max_connections: int
    gateway_request_timeout: timedelta
    gateway_drain_notice: timedelta
    gateway_drain_limit: timedelta
    rpc_max_connections: int
    scheduler_rpc: str
    scheduler_shards_per_domain: int
    scheduler_shard_lease: timedelta
    scheduler_shard_renewal: timedelta
    scheduler_task_lease: timedelta
    scheduler_task_renewal: timedelta
    scheduler_command_expiry: timedelta
    scheduler_clock_drift: timedelta
    scheduler_autonomy: timedelta
    scheduler_workers_fence: bool
    platform_table: str
    platform_objects: str
    platform_vms: str
    platform_timeout: timedelta
    platform_poll: timedelta
    platform_vm_poll: timedelta
    cell_failure_domains: tuple[str, ...]
    cell_seeds: tuple[str, ...]
    cell_view_age_limit: timedelta
    cell_heartbeat: timedelta
    cell_first_operator_digest: str
    retention_jobs: timedelta
    retention_claims: timedelta
    retention_watch: timedelta
    retention_bundles: int
    retention_rows_per_second: int
    log_level: str

    def __init__(self) -> None:
        self.sources: dict[str, str] = {}
        for option in OPTIONS:
            if option.default is not None:
                self._set(option, option.default, "default")

    @classmethod
    def load(
        cls,
        path: Path | None = None,
        *,
        environment: Mapping[str, str] | None = None,
        overrides: Sequence[str] = (),
    ) -> Settings:
        """Read all sources and return validated settings.

        `path` is a TOML file, and `overrides` are texts such as `log.level=debug`.
        Raises `SettingsError`, whose message names the source, the key and the reason.
        """
        settings = cls()
        if path is not None:
            settings._read_file(path)
        settings._read_environment(environment or {})
        for text in overrides:
            settings._read_override(text)
        settings._check()
        return settings

    def items(self) -> list[tuple[str, object, str]]:
        """Return the key, value and source of every option."""
        return [
            (option.key, getattr(self, option.attribute), self.sources[option.key])
            for option in OPTIONS
        ]

    def _read_file(self, path: Path) -> None:
        try:
            document = tomllib.loads(path.read_text(encoding="utf-8"))
        except OSError as exc:
            raise SettingsError(f"{path}: cannot be read: {exc.strerror}") from exc
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
            raise SettingsError(f"{path}: is not TOML: {exc}") from exc
        for section, values in document.items():
            if not isinstance(values, dict):
                raise SettingsError(f"{path}: {section}: expected a section")
            for name, value in values.items():
                self._set_by_key(f"{section}.{name}", value, str(path))

    def _read_environment(self, environment: Mapping[str, str]) -> None:
        known = {option.variable: option for option in OPTIONS}
        for variable, value in environment.items():
            if not variable.startswith(ENVIRONMENT_PREFIX):
                continue
            if variable not in known:
                raise SettingsError(f"environment: {variable}: unknown option")
            self._set(known[variable], value, f"environment {variable}")

    def _read_override(self, text: str) -> None:
        key, separator, value = text.partition("=")
        if not separator:
            raise SettingsError(f"--set {text}: expected section.name=value")
        self._set_by_key(key, value, "--set")

    def _set_by_key(self, key: str, value: object, source: str) -> None:
        if key not in OPTIONS_BY_KEY:
            raise SettingsError(f"{source}: {key}: unknown option")
        self._set(OPTIONS_BY_KEY[key], value, source)

    def _set(self, option: Option, value: object, source: str) -> None:
        try:
            parsed = option.parse(value)
        except ValueError as exc:
            raise SettingsError(f"{source}: {option.key}: {exc}") from exc
        setattr(self, option.attribute, parsed)
        self.sources[option.key] = source

    def _check(self) -> None:
        for option in OPTIONS:
            if option.key not in self.sources:
                raise SettingsError(
                    f"{option.key}: is required ({option.help}); set it in the file "
                    f"or in {option.variable}"
                )
        self._check_bytes_in_flight()
        self._require_shorter("scheduler.shard_renewal", "scheduler.shard_lease")
        self._require_shorter("scheduler.task_renewal", "scheduler.task_lease")
        self._require_shorter("platform.poll", "cell.view_age_limit")
        self._require_shorter("gateway.request_timeout", "retention.watch")
        self._require_shorter("retention.watch", "retention.jobs")
        self._require_shorter("retention.watch", "retention.claims")
        if self.vm_failure_domain not in self.cell_failure_domains:
            raise SettingsError(
                f"vm.failure_domain: {self.vm_failure_domain} is not in "
                "cell.failure_domains"
            )
        if self.log_level not in ("debug", "info", "warning", "error"):
            raise SettingsError(
                f"log.level: {self.log_level} is not debug, info, warning or error"
            )

    def _check_bytes_in_flight(self) -> None:
        """Raise unless a single request is served, and refused ones leave it room."""
        least = max(2 * self.gateway_max_body_bytes, MIN_BYTES_IN_FLIGHT)
        if self.gateway_max_bytes_in_flight < least:
            raise SettingsError(
                f"gateway.max_bytes_in_flight: must be at least {least}: "
                f"{MIN_BYTES_IN_FLIGHT}, and twice gateway.max_body_bytes, which comes "
                f"from {self.sources['gateway.max_body_bytes']}"
            )

    def _require_shorter(self, shorter: str, longer: str) -> None:
        values = [
            getattr(self, OPTIONS_BY_KEY[key].attribute) for key in (shorter, longer)
        ]
        if values[0] >= values[1]:
            raise SettingsError(
                f"{shorter}: must be shorter than {longer}, which comes from "
                f"{self.sources[longer]}"
            )
