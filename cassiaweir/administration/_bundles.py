"""Bundles as operators handle them: check, compare, roll out with confirmation."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from cassiaweir.administration._bundle_messages import (
    BundleInfo,
    BundleList,
    BundleStatus,
    CheckReport,
    Finding,
    FindingKind,
)
from cassiaweir.administration._jobs import JobAdministration
from cassiaweir.administration._processes import ProcessProbe
from cassiaweir.configuration import (
    Bundle,
    BundleRepository,
    BundleVersion,
    Operator,
    QueueEntry,
    ServiceEntry,
    TeamEntry,
)
from cassiaweir.exceptions import RefusedError
from cassiaweir.types import Resources, ShardDirectory, Team
from cassiaweir.work import JobStatus

Entry = TeamEntry | QueueEntry | ServiceEntry


class BundleAdministration:
    """Takes bundles through their life and compares them with what runs."""

    def __init__(
        self,
        repository: BundleRepository,
        jobs: JobAdministration,
        directory: ShardDirectory,
        probe: ProcessProbe,
    ) -> None:
        self.repository = repository
        self._jobs = jobs
        self._directory = directory
        self._probe = probe

    async def history(self) -> BundleList:
        """Return all versions."""
        head = await self.repository.head()
        found = await self.repository.history()
        return BundleList(bundles=[describe_bundle(row, head.version) for row in found])

    async def status(self) -> BundleStatus:
        """Return the head, and which processes have it in force."""
        head = await self.repository.head()
        processes = await self._probe.fetch_versions()
        behind = [
            item.process
            for item in processes
            if item.answered and item.bundle_version < head.version
        ]
        silent = [item.process for item in processes if not item.answered]
        return BundleStatus(
            version=head.version,
            digest=head.digest,
            operator=head.operator,
            complete=not behind and not silent,
            behind=behind,
            silent=silent,
            processes=processes,
        )

    async def check(self, bundle: Bundle) -> CheckReport:
        """Return what `bundle` changes and what of it asks for confirmation."""
        head = await self.repository.head()
        current = await self._content(head.version)
        return CheckReport(
            digest=bundle.digest(),
            base=head.version,
            changes=compare(current, bundle),
            findings=await self._findings(current, bundle),
        )

    async def diff(self, version: int, against: int | None) -> list[str]:
        """Return the changes from `against`, or from the base, to `version`."""
        found = await self.repository.get(version)
        base = found.base if against is None else against
        return compare(await self._content(base), found.bundle)

    async def roll_out(
        self, operator: Operator, version: int, digest: str, *, confirm: bool
    ) -> BundleVersion:
        """Put an approved version in force.

        Raises `RefusedError` with reason `confirmation_needed` where the check finds
        something and `confirm` is unset.
        """
        if not confirm:
            await self._require_no_findings(version)
        return await self.repository.roll_out(operator, version, digest)

    async def revert_to(
        self, operator: Operator, version: int, *, head: int, confirm: bool
    ) -> BundleVersion:
        """Put the content of an earlier version in force in place of `head`."""
        if not confirm:
            await self._require_no_findings(version)
        return await self.repository.revert_to(operator, version, head=head)

    async def _require_no_findings(self, version: int) -> None:
        found = await self.repository.get(version)
        report = await self.check(found.bundle)
        if report.findings:
            details = "; ".join(finding.detail for finding in report.findings)
            raise RefusedError("confirmation_needed", f"bundle {version}: {details}")

    async def _content(self, version: int) -> Bundle:
        return (await self.repository.get(version)).bundle if version else Bundle()

    async def _findings(self, current: Bundle, bundle: Bundle) -> list[Finding]:
        cell = _total(owner.capacity for owner in self._directory.owners())
        before = {entry.name: entry.team() for entry in current.team}
        after = {entry.name: entry.team() for entry in bundle.team}
        findings = []
        for name, team in before.items():
            new = after.get(name)
            if new is None or not team.limit.fits(new.limit):
                findings += await self._compare_with_work(name, new)
        for name, team in after.items():
            if not team.limit.fits(cell) and cell != Resources():
                detail = f"the limit of team {name} exceeds the cell, {_show(cell)}"
                findings.append(_finding(FindingKind.EXCEEDS_CELL, name, detail))
        return findings

    async def _compare_with_work(self, name: str, new: Team | None) -> list[Finding]:
        """Return what is wrong with taking a team away, or with its lower limit."""
        jobs = await self._jobs.open_rows(name)
        if new is None:
            if not jobs:
                return []
            detail = f"team {name} is removed but has {len(jobs)} unfinished jobs"
            return [_finding(FindingKind.TEAM_REMOVED_WITH_WORK, name, detail)]
        findings = []
        running = _total(_running(status) for status in jobs)
        if not running.fits(new.limit):
            detail = (
                f"team {name} runs {_show(running)}, above its new limit "
                f"{_show(new.limit)}"
            )
            findings.append(_finding(FindingKind.LIMIT_BELOW_RUNNING, name, detail))
        silent = sorted({shard for status in jobs for shard in status.silent})
        if silent:
            detail = f"what team {name} runs in {', '.join(silent)} is not known"
            findings.append(_finding(FindingKind.UNKNOWN_LOAD, name, detail))
        return findings


def describe_bundle(row: BundleVersion, in_force: int = 0) -> BundleInfo:
    """Return the message for a version."""
    return BundleInfo(
        version=row.version,
        base=row.base,
        digest=row.digest,
        author=row.author,
        state=row.state,
        approved_by=row.approved_by,
        rolled_out_by=row.rolled_out_by,
        reverts_to=row.reverts_to,
        in_force=row.version == in_force,
    )


def compare(before: Bundle, after: Bundle) -> list[str]:
    """Return one line for each entry that was added, removed or changed."""
    lines = []
    for kind in ("team", "queue", "service"):
        lines += _compare_entries(kind, getattr(before, kind), getattr(after, kind))
    return lines


def _compare_entries(
    kind: str, before: Sequence[Entry], after: Sequence[Entry]
) -> list[str]:
    old = {entry.name: _entry_text(entry) for entry in before}
    new = {entry.name: _entry_text(entry) for entry in after}
    lines = []
    for name in sorted(old | new):
        if old.get(name) == new.get(name):
            continue
        if name in old:
            lines.append(f"- {kind} {name} {old[name]}")
        if name in new:
            lines.append(f"+ {kind} {name} {new[name]}")
    return lines


def _entry_text(entry: Entry) -> str:
    return msgspec.json.encode(entry, order="sorted").decode()


def _running(status: JobStatus) -> Resources:
    count = sum(part.running for part in status.live)
    return status.row.spec.size.resources() * count


def _total(amounts: Iterable[Resources]) -> Resources:
    total = Resources()
    for amount in amounts:
        total = total + amount
    return total


def _show(size: Resources) -> str:
    text = f"{size.cpu_millis} cpu_millis, {size.memory_mb} memory_mb"
    return f"{text}, {size.accelerators} accelerators" if size.accelerators else text


def _finding(kind: FindingKind, subject: str, detail: str) -> Finding:
    return Finding(kind=kind, subject=subject, detail=detail)
