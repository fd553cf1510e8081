"""Makes the report of a check and prints it as text or JSON."""

from __future__ import annotations

from pathlib import Path

import msgspec

from cassiaweir.configuration_check._differences import (
    ALL_REQUESTS,
    Difference,
    find_differences,
)
from cassiaweir.configuration_check._fields import Finding
from cassiaweir.configuration_check._reader import (
    ConfigurationFile,
    count_servers,
    read_configuration,
    read_jobs,
    read_servers,
)
from cassiaweir.configuration_check._rules import CheckedWith, find_contradictions


class CheckReport(msgspec.Struct, frozen=True):
    """What a check found.

    `complete` is False if a malformed field prevented the check of contradictions, and
    `differences` is None if there is nothing to compare with.
    """

    file: str
    version: int | None
    in_force: str | None
    in_force_version: int | None
    complete: bool
    findings: list[Finding]
    differences: list[Difference] | None


def check_files(
    path: Path,
    in_force_path: Path | None = None,
    servers_path: Path | None = None,
    jobs: tuple[tuple[str, Path], ...] = (),
) -> CheckReport:
    """Check the configuration at `path` against the other files.

    Raises `UnreadableFileError` if one of them cannot be read or is not JSON.
    """
    checked = read_configuration(path)
    in_force = read_configuration(in_force_path) if in_force_path else None
    counts = None
    findings = [*checked.findings]
    if servers_path is not None:
        entries, of_servers = read_servers(servers_path)
        findings += of_servers
        # Malformed entries may be those of a service that seems to have no servers.
        counts = None if of_servers else dict(count_servers(entries.values()))
    specs, of_jobs = read_jobs(jobs)
    findings += of_jobs
    differences = None
    if checked.manifest is not None:
        checked_with = CheckedWith(counts, specs)
        findings += find_contradictions(checked.file, checked.manifest, checked_with)
    if in_force is not None:
        findings += [each for each in in_force.findings if each.malformed]
        differences = _compare_with(checked, in_force, findings)
    return CheckReport(
        file=checked.file,
        version=_version(checked),
        in_force=in_force.file if in_force else None,
        in_force_version=_version(in_force),
        complete=not any(each.malformed for each in findings),
        findings=findings,
        differences=differences,
    )


def render_json(report: CheckReport) -> str:
    """Return the report as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(report), indent=2).decode()


def render_text(report: CheckReport) -> str:
    """Return the report as text, a line for each finding and difference."""
    lines = [f"{each.file}: {each.key}: {each.reason}" for each in report.findings]
    if report.differences is not None:
        lines.append(
            f"changes from version {report.in_force_version} ({report.in_force}) to "
            f"version {report.version}:"
        )
        lines += [f"  {_difference_text(each)}" for each in report.differences]
    if not report.complete:
        lines.append("malformed fields prevent a part of the check")
    total = f"{len(report.findings)} findings"
    if report.differences is not None:
        total += f", {len(report.differences)} differences"
    return "".join(f"{_one_line(line)}\n" for line in [*lines, total])


def _compare_with(
    checked: ConfigurationFile, in_force: ConfigurationFile, findings: list[Finding]
) -> list[Difference] | None:
    """Return the differences, and add a finding if entry VMs would ignore the file."""
    if checked.manifest is None or in_force.manifest is None:
        return None
    differences = find_differences(in_force.manifest, checked.manifest)
    former = in_force.manifest.version
    if differences and checked.manifest.version <= former:
        reason = f"not above version {former} in force, so that no entry VM adopts it"
        findings.append(Finding(checked.file, "version", reason))
    return differences


def _version(file: ConfigurationFile | None) -> int | None:
    return file.manifest.version if file and file.manifest else None


def _difference_text(item: Difference) -> str:
    words = [item.subject]
    if item.subject != ALL_REQUESTS:
        words.append(item.name)
    words.append(item.change.value)
    if item.field:
        words.append(item.field)
    values = " -> ".join(text for text in (item.before, item.after) if text)
    text = " ".join([*words, values]).rstrip()
    return f"{text}: {item.meaning}" if item.meaning else text


def _one_line(text: str) -> str:
    """Escape characters that would break a line or change the terminal's state."""
    return "".join(
        each if each.isprintable() else each.encode("unicode_escape").decode()
        for each in text
    )
