"""Checks, compares, rolls out and reverts bundles on behalf of operators."""

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
    """Compares bundles with each other and with the running jobs, and rolls them out.

    Drafts and reviews are left to `repository`, which callers use directly.
    """

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
        """Return all versions of the bundle, the lowest first."""
        head = await self.repository.head()
        versions = await self.repository.history()
        return BundleList(
            bundles=[describe_bundle(row, head.version) for row in versions]
        )

    async def status(self) -> BundleStatus:
        """Return the version in force, and which processes have installed it."""
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
        """Return what `bundle` would change, and the findings to be confirmed."""
        head = await self.repository.head()
        current = await self._bundle_content(head.version)
        return CheckReport(
            digest=bundle.digest(),
            base=head.version,
            changes=compare(current, bundle),
            findings=await self._findings(current, bundle),
        )

    async def diff(self, version: int, against: int | None) -> list[str]:
        """Return the changes from version `against` to `version`, one line each.

        If `against` is None, the version that `version` was made from is used.
        """
        found = await self.repository.get(version)
        base = found.base if against is None else against
        return compare(await self._bundle_content(base), found.bundle)

    async def roll_out(
        self, operator: Operator, version: int, digest: str, *, confirm: bool
    ) -> BundleVersion:
        """Put an approved version in force.

        Raises `RefusedError` with reason `confirmation_needed` if the check has
        findings and `confirm` is false.
        """
        if not confirm:
            await self._require_no_findings(version)
        return await self.repository.roll_out(operator, version, digest)

    async def revert_to(
        self, operator: Operator, version: int, *, head: int, confirm: bool
    ) -> BundleVersion:
        """Put the content of an earlier version in force, as a new version.

        Raises `RefusedError` like `roll_out`, and `ConflictError` if `head` is not the
        version in force.
        """
        if not confirm:
            await self._require_no_findings(version)
        return await self.repository.revert_to(operator, version, head=head)

    async def _require_no_findings(self, version: int) -> None:
        found = await self.repository.get(version)
        report = await self.check(found.bundle)
        if report.findings:
            details = "; ".join(finding.detail for finding in report.findings)
            raise RefusedError("confirmation_needed", f"bundle {version}: {details}")

    async def _bundle_content(self, version: int) -> Bundle:
        return (await self.repository.get(version)).bundle if version else Bundle()

    async def _findings(self, current: Bundle, bundle: Bundle) -> list[Finding]:
        cell_capacity = _sum_resources(
            owner.capacity for owner in self._directory.owners()
        )
        before = {entry.name: entry.team() for entry in current.team}
        after = {entry.name: entry.team() for entry in bundle.team}
        findings = []
        for name, team in before.items():
            new = after.get(name)
            if new is None or not team.limit.fits(new.limit):
                findings += await self._compare_with_work(name, new)
        for name, team in after.items():
            if not team.limit.fits(cell_capacity) and cell_capacity != Resources():
                detail = (
                    f"the limit of team {name} exceeds the cell's capacity of "
                    f"{_format_resources(cell_capacity)}"
                )
                findings.append(_finding(FindingKind.EXCEEDS_CELL, name, detail))
        return findings

    async def _compare_with_work(self, name: str, new: Team | None) -> list[Finding]:
        """Return the findings on removing team `name`, or on lowering its limit.

        `new` is the team with its new limit, or None if the bundle removes the team.
        """
        jobs = await self._jobs.unfinished_jobs(name)
        if new is None:
            if not jobs:
                return []
            detail = f"team {name} is removed but has {len(jobs)} unfinished jobs"
            return [_finding(FindingKind.TEAM_REMOVED_WITH_WORK, name, detail)]
        findings = []
        running = _sum_resources(_running_resources(status) for status in jobs)
        if not running.fits(new.limit):
            detail = (
                f"the running tasks of team {name} use {_format_resources(running)}, "
                f"more than its new limit of {_format_resources(new.limit)}"
            )
            findings.append(_finding(FindingKind.LIMIT_BELOW_RUNNING, name, detail))
        silent = sorted({shard for status in jobs for shard in status.silent})
        if silent:
            detail = f"no answer on the load of team {name} from {', '.join(silent)}"
            findings.append(_finding(FindingKind.UNKNOWN_LOAD, name, detail))
        return findings


def describe_bundle(row: BundleVersion, in_force: int = 0) -> BundleInfo:
    """Return the message for a version; `in_force` is the version in force."""
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
    """Return the differences in teams, queues and services, one line for each.

    A changed entry gives two lines: its old state with `-` and its new one with `+`.
    """
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


def _running_resources(status: JobStatus) -> Resources:
    count = sum(part.running for part in status.live)
    return status.row.spec.size.resources() * count


def _sum_resources(amounts: Iterable[Resources]) -> Resources:
    total = Resources()
    for amount in amounts:
        total = total + amount
    return total


def _format_resources(size: Resources) -> str:
    text = f"{size.cpu_millis} cpu_millis, {size.memory_mb} memory_mb"
    return f"{text}, {size.accelerators} accelerators" if size.accelerators else text


def _finding(kind: FindingKind, subject: str, detail: str) -> Finding:
    return Finding(kind=kind, subject=subject, detail=detail)
