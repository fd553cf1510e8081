"""Reads the files that a check compares."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import msgspec

from cassiaweir.configuration_check._fields import (
    ROOT_PATH,
    Finding,
    find_malformed,
    split_error,
)
from cassiaweir.dispatch import ServerEntry
from cassiaweir.exceptions import CassiaweirError, InvalidInputError
from cassiaweir.jobs import JobSpec
from cassiaweir.platform import PlatformJobCodec, decode_server_entry
from cassiaweir.platform._manifest import Manifest, parse_manifest
from cassiaweir.platform._servers import ServerFields
from cassiaweir.queues import Queue

SERVER_FIELDS = ServerFields.__struct_encode_fields__
JOB_ERROR_PATTERN = re.compile(
    r"(?P<key>[a-z_]+(?:\[\d+\]|\.[a-z_]+)*): (?P<reason>.*)"
)
"""Matches an error of the job codec that begins with the path of a field."""

NO_QUEUE = Queue("", "", "", "")


class UnreadableFileError(CassiaweirError):
    """A file cannot be read, or does not hold JSON."""


@dataclass(frozen=True, slots=True)
class ConfigurationFile:
    """A configuration and the faults of its fields.

    `manifest` is None if a field is malformed.
    """

    file: str
    manifest: Manifest | None
    findings: tuple[Finding, ...]


def read_configuration(path: Path) -> ConfigurationFile:
    """Read the configuration in the file at `path`.

    Raises `UnreadableFileError` if it cannot be read or is not JSON.
    """
    file = click.format_filename(path)
    raw = _read(path)
    try:
        findings = [*find_malformed(file, ROOT_PATH, Manifest, _decode(file, raw))]
    except msgspec.ValidationError as exc:
        findings = [_number_finding(file, raw, exc)]
    try:
        return ConfigurationFile(file, parse_manifest(raw), tuple(findings))
    except InvalidInputError as exc:
        if not any(each.malformed for each in findings):
            key, reason = split_error(str(exc))
            findings.append(Finding(file, key, reason, malformed=True))
        return ConfigurationFile(file, None, tuple(findings))


def read_servers(path: Path) -> tuple[dict[str, ServerEntry], list[Finding]]:
    """Read entries of servers by server id, and return them and the findings.

    Raises `UnreadableFileError` as `read_configuration` does.
    """
    file = click.format_filename(path)
    raw = _read(path)
    try:
        found = _decode(file, raw)
    except msgspec.ValidationError as exc:
        return {}, [Finding(file, ROOT_PATH, str(exc), malformed=True)]
    if not isinstance(found, dict):
        reason = "expected an object with the entry of each server by its id"
        return {}, [Finding(file, ROOT_PATH, reason, malformed=True)]
    entries: dict[str, ServerEntry] = {}
    findings: list[Finding] = []
    for server_id, value in found.items():
        # The platform may add fields to entries, which operators do not write.
        malformed = [
            *find_malformed(file, server_id, ServerFields, value, allow_unknown=True)
        ]
        findings += malformed
        if malformed:
            continue
        used = {name: value[name] for name in SERVER_FIELDS if name in value}
        try:
            entries[server_id] = decode_server_entry(
                server_id, msgspec.json.encode(used)
            )
        except (InvalidInputError, RecursionError) as exc:
            findings.append(Finding(file, server_id, str(exc), malformed=True))
    return entries, findings


def read_jobs(
    options: Iterable[tuple[str, Path]],
) -> tuple[list[tuple[str, JobSpec]], list[Finding]]:
    """Read submissions, each given with its customer, and return them by file.

    Raises `UnreadableFileError` as `read_configuration` does.
    """
    jobs: list[tuple[str, JobSpec]] = []
    findings: list[Finding] = []
    codec = PlatformJobCodec()
    for customer, path in options:
        file = click.format_filename(path)
        raw = _read(path)
        try:
            _decode(file, raw)
            spec = codec.decode_submission(
                raw, job_id="0" * 16, queue=NO_QUEUE, customer=customer, submitted_at=0
            )
        except (InvalidInputError, msgspec.ValidationError) as exc:
            findings.append(_job_finding(file, str(exc)))
            continue
        jobs.append((file, spec))
    return jobs, findings


def count_servers(entries: Iterable[ServerEntry]) -> Counter[str]:
    """Return the number of servers of each service that do not drain."""
    return Counter(entry.service for entry in entries if not entry.draining)


def _read(path: Path) -> bytes:
    file = click.format_filename(path)
    try:
        return path.read_bytes()
    except OSError as exc:
        raise UnreadableFileError(f"{file}: cannot be read: {exc.strerror}") from exc


def _decode(file: str, raw: bytes) -> Any:
    """Return the JSON value; `msgspec.ValidationError` is a number out of range."""
    try:
        return msgspec.json.decode(raw)
    except msgspec.ValidationError:
        raise
    except msgspec.DecodeError as exc:
        raise UnreadableFileError(f"{file}: is not JSON: {exc}") from exc
    except RecursionError as exc:
        raise UnreadableFileError(f"{file}: is nested too deeply") from exc


def _job_finding(file: str, message: str) -> Finding:
    match = JOB_ERROR_PATTERN.fullmatch(message)
    key, reason = match.group("key", "reason") if match else split_error(message)
    return Finding(file, key, reason, malformed=True)


def _number_finding(file: str, raw: bytes, exc: Exception) -> Finding:
    """Return the finding for a number out of range, with its path if it is a field."""
    try:
        parse_manifest(raw)
    except InvalidInputError as typed:
        exc = typed
    key, reason = split_error(str(exc))
    return Finding(file, key, reason, malformed=True)
