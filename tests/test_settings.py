"""Tests of `cassiaweir.settings`."""

from datetime import timedelta
from pathlib import Path

import pytest

from cassiaweir.exceptions import SettingsError
from cassiaweir.settings import Settings

MINIMAL_TOML = """
[vm]
name = "augusta-1"
failure_domain = "augusta"
deployment = "sicilia-est"

[platform]
table = "127.0.0.1:7001"
objects = "127.0.0.1:7002"
vms = "127.0.0.1:7003"

[cell]
failure_domains = ["augusta", "priolo", "milazzo"]
"""


def load(tmp_path: Path, extra: str = "", **kwargs) -> Settings:
    path = tmp_path / "settings.toml"
    path.write_text(MINIMAL_TOML + extra, encoding="utf-8")
    return Settings.load(path, **kwargs)


def test_later_sources_override_earlier_ones(tmp_path):
    settings = load(
        tmp_path,
        '[log]\nlevel = "error"\n[scheduler]\nshard_lease = "9s"\n',
        environment={
            "CASSIAWEIR_LOG_LEVEL": "warning",
            "CASSIAWEIR_SCHEDULER_SHARD_LEASE": "8s",
        },
        overrides=["log.level=debug"],
    )
    assert settings.log_level == "debug"
    assert settings.scheduler_shard_lease == timedelta(seconds=8)
    assert settings.vm_failure_domain == "augusta"


@pytest.mark.parametrize(
    ("extra", "message"),
    [
        ("[log]\nlevle = 1\n", "log.levle: unknown option"),
        ('[gateway]\nlisten = "localhost:1"\n', "gateway.listen: expected an IP"),
        (
            "[gateway]\nmax_bytes_in_flight = 2000000\n",
            "gateway.max_bytes_in_flight: must be at least 2097152",
        ),
        ("[gateway]\nmax_body_bytes = -1\n", "gateway.max_body_bytes: expected"),
        ('[scheduler]\nshard_lease = "1s"\n', "must be shorter than"),
        ("[scheduler\n", "is not TOML"),
        ('[retention]\nclaims = "30m"\n', "retention.watch: must be shorter than"),
        ('[retention]\nwatch = "5s"\n', "gateway.request_timeout: must be shorter"),
        ('[log]\nlevel = "loud"\n', "log.level: loud"),
    ],
)
def test_invalid_settings_are_refused_with_key_and_reason(tmp_path, extra, message):
    with pytest.raises(SettingsError, match=r".*" + message):
        load(tmp_path, extra)


def test_durations_may_be_given_in_days(tmp_path):
    settings = load(tmp_path, '[retention]\njobs = "14d"\n')
    assert settings.retention_jobs == timedelta(days=14)
    assert settings.retention_watch < settings.retention_claims == timedelta(days=3)


def test_an_unknown_environment_variable_is_refused(tmp_path):
    with pytest.raises(SettingsError, match="CASSIAWEIR_NO_SUCH"):
        load(tmp_path, environment={"CASSIAWEIR_NO_SUCH": "1"})


def test_a_missing_required_option_is_named():
    with pytest.raises(SettingsError, match=r"vm\.name: is required"):
        Settings.load(overrides=["log.level=debug"])
