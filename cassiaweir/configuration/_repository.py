"""Stores bundle versions and takes them through review to their roll-out."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from cassiaweir.configuration._audit import AuditedTable
from cassiaweir.configuration._bundle import Bundle
from cassiaweir.configuration._operators import Operator, OperatorRole
from cassiaweir.configuration._rows import (
    BUNDLE_HEAD,
    BUNDLE_LAST,
    BUNDLE_VERSION_PREFIX,
    BundleHead,
    BundleState,
    BundleVersion,
    Counter,
    Review,
    decode_counter,
    decode_head,
    unchanged_check,
    version_key,
)
from cassiaweir.exceptions import ConflictError, InvalidInputError, NotFoundError
from cassiaweir.store import scan_in_pages
from cassiaweir.types import Check, Row, Write

AUDIT_AREA = "bundle"
VERSIONS_PER_PAGE = 16
HEAD_ACTIONS = ("roll_out", "revert")
"""Actions that change which version is in force."""

REVIEWABLE_STATES = (BundleState.PROPOSED, BundleState.APPROVED)
"""An approved version can still be rejected before it is rolled out."""


@dataclass(frozen=True, slots=True)
class _StoredVersion:
    """A bundle version and the row that it was read from."""

    row: Row
    content: BundleVersion


class BundleRepository:
    """The versions of the bundle, from draft over review to roll-out.

    Every method that changes something is one transaction, which includes its audit
    row.  It raises `ConflictError` with the name of the other operator if a
    concurrent change came first, `RefusedError` if the operator lacks the role, and
    `UnavailableError` if the table does not answer.
    """

    def __init__(self, audited: AuditedTable) -> None:
        self._audited = audited
        self._table = audited.table

    async def head(self) -> BundleHead:
        """Return the version in force; version 0 before the first roll-out."""
        return decode_head((await self._table.read([BUNDLE_HEAD])).get(BUNDLE_HEAD))

    async def get(self, version: int) -> BundleVersion:
        """Return bundle `version`, or raise `NotFoundError`."""
        return (await self._load(version)).content

    async def history(self) -> list[BundleVersion]:
        """Return all stored versions in ascending order."""
        rows = await scan_in_pages(
            self._table, BUNDLE_VERSION_PREFIX, page=VERSIONS_PER_PAGE
        )
        return [msgspec.json.decode(row.value, type=BundleVersion) for row in rows]

    async def draft(self, author: Operator, bundle: Bundle) -> BundleVersion:
        """Store `bundle` as a draft with a new version number.

        Its `base` is the version in force.
        """
        author.require(OperatorRole.AUTHOR)
        bundle.check()
        rows = await self._table.read([BUNDLE_HEAD, BUNDLE_LAST])
        content = BundleVersion(
            version=decode_counter(rows.get(BUNDLE_LAST)).version + 1,
            base=decode_head(rows.get(BUNDLE_HEAD)).version,
            digest=bundle.digest(),
            author=author.name,
            state=BundleState.DRAFT,
            bundle=bundle,
        )
        checks = [unchanged_check(BUNDLE_LAST, rows.get(BUNDLE_LAST))]
        await self._commit(
            author, "draft", content, checks, _new_version_writes(content)
        )
        return content

    async def propose(
        self, author: Operator, version: int, digest: str
    ) -> BundleVersion:
        """Submit a draft for review, which only its author may do.

        Its content is fixed from then on.
        """
        author.require(OperatorRole.AUTHOR)
        stored = await self._load(version)
        _require_digest(stored.content, digest)
        _require_state(stored.content, (BundleState.DRAFT,))
        if stored.content.author != author.name:
            raise InvalidInputError(
                f"bundle {version}: only its author {stored.content.author} can "
                f"propose it, not {author.name}"
            )
        changed = msgspec.structs.replace(stored.content, state=BundleState.PROPOSED)
        return await self._update(author, "propose", stored, changed)

    async def review(
        self,
        reviewer: Operator,
        version: int,
        digest: str,
        *,
        approve: bool,
        comment: str = "",
    ) -> BundleVersion:
        """Approve or reject the content with `digest`.

        The author of a version cannot review it.
        """
        reviewer.require(OperatorRole.REVIEWER)
        stored = await self._load(version)
        _require_digest(stored.content, digest)
        _require_state(stored.content, REVIEWABLE_STATES)
        if stored.content.author == reviewer.name:
            raise InvalidInputError(
                f"bundle {version}: its author {reviewer.name} cannot review it"
            )
        review = Review(reviewer.name, digest, approve, comment)
        changed = msgspec.structs.replace(
            stored.content,
            state=BundleState.APPROVED if approve else BundleState.REJECTED,
            reviews=[*stored.content.reviews, review],
            approved_by=reviewer.name if approve else "",
        )
        action = "approve" if approve else "reject"
        return await self._update(reviewer, action, stored, changed)

    async def roll_out(
        self, operator: Operator, version: int, digest: str
    ) -> BundleVersion:
        """Put an approved version in force in all processes.

        The version in force must still be the base of this one.  Otherwise the
        roll-out would undo, without notice, what another operator has rolled out
        since the draft.
        """
        operator.require(OperatorRole.ON_CALL)
        stored = await self._load(version)
        _require_digest(stored.content, digest)
        _require_state(stored.content, (BundleState.APPROVED,))
        head_row = (await self._table.read([BUNDLE_HEAD])).get(BUNDLE_HEAD)
        head = decode_head(head_row)
        if head.version != stored.content.base:
            raise _outdated_base_error(head, version, stored.content.base)
        changed = msgspec.structs.replace(
            stored.content,
            state=BundleState.ROLLED_OUT,
            rolled_out_by=operator.name,
        )
        checks = [
            unchanged_check(BUNDLE_HEAD, head_row),
            unchanged_check(stored.row.key, stored.row),
        ]
        writes = [_version_write(changed), _head_write(changed, operator)]
        await self._commit(operator, "roll_out", changed, checks, writes)
        return changed

    async def revert_to(
        self, operator: Operator, version: int, *, head: int | None = None
    ) -> BundleVersion:
        """Put the content of an earlier version in force, as a new, higher version.

        The content needs no new approval: it was written by one operator and
        approved by another before it was first rolled out.  `head` is the version
        that the operator takes to be in force.  If another one is, this raises
        `ConflictError` rather than undo a roll-out that the operator has not seen.
        """
        operator.require(OperatorRole.ON_CALL)
        earlier = (await self._load(version)).content
        _require_state(earlier, (BundleState.ROLLED_OUT,))
        rows = await self._table.read([BUNDLE_HEAD, BUNDLE_LAST])
        current = decode_head(rows.get(BUNDLE_HEAD))
        if head not in (None, current.version):
            raise ConflictError(
                f"version {head} is no longer in force: {current.operator} has rolled "
                f"out version {current.version} with digest {current.digest}"
            )
        content = msgspec.structs.replace(
            earlier,
            version=decode_counter(rows.get(BUNDLE_LAST)).version + 1,
            base=current.version,
            rolled_out_by=operator.name,
            reverts_to=version,
        )
        checks = [
            unchanged_check(BUNDLE_HEAD, rows.get(BUNDLE_HEAD)),
            unchanged_check(BUNDLE_LAST, rows.get(BUNDLE_LAST)),
        ]
        writes = [*_new_version_writes(content), _head_write(content, operator)]
        await self._commit(operator, "revert", content, checks, writes)
        return content

    async def _load(self, version: int) -> _StoredVersion:
        key = version_key(version)
        row = (await self._table.read([key])).get(key)
        if row is None:
            raise NotFoundError(f"bundle {version} does not exist")
        return _StoredVersion(row, msgspec.json.decode(row.value, type=BundleVersion))

    async def _update(
        self,
        operator: Operator,
        action: str,
        stored: _StoredVersion,
        changed: BundleVersion,
    ) -> BundleVersion:
        checks = [unchanged_check(stored.row.key, stored.row)]
        await self._commit(operator, action, changed, checks, [_version_write(changed)])
        return changed

    async def _commit(
        self,
        operator: Operator,
        action: str,
        content: BundleVersion,
        checks: list[Check],
        writes: list[Write],
    ) -> None:
        try:
            await self._audited.commit(
                operator.name,
                action,
                checks,
                writes,
                area=AUDIT_AREA,
                version=content.version,
                digest=content.digest,
            )
        except ConflictError as exc:
            raise await self._conflict_error(action, content) from exc

    async def _conflict_error(
        self, action: str, content: BundleVersion
    ) -> ConflictError:
        """Return the error that names the operator whose change came first."""
        key = version_key(content.version)
        rows = await self._table.read([BUNDLE_HEAD, key])
        head = decode_head(rows.get(BUNDLE_HEAD))
        if action in HEAD_ACTIONS and head.version != content.base:
            return _outdated_base_error(head, content.version, content.base)
        row = rows.get(key)
        if row is None:
            return ConflictError(
                f"bundle {content.version}: {action} conflicted with another change"
            )
        current = msgspec.json.decode(row.value, type=BundleVersion)
        return ConflictError(
            f"bundle {content.version}: {action} conflicted with another change; "
            f"it is now {current.state} with digest {current.digest} by "
            f"{_last_operator(current)}"
        )


def _outdated_base_error(head: BundleHead, version: int, base: int) -> ConflictError:
    return ConflictError(
        f"bundle {version} was made from version {base}, but {head.operator} has "
        f"rolled out version {head.version} with digest {head.digest}; compare the "
        "two and draft again"
    )


def _last_operator(content: BundleVersion) -> str:
    """Return who rolled the version out, or else reviewed it last, or wrote it."""
    reviewers = [review.reviewer for review in content.reviews[-1:]]
    return content.rolled_out_by or "".join(reviewers) or content.author


def _require_state(content: BundleVersion, allowed: tuple[BundleState, ...]) -> None:
    if content.state not in allowed:
        raise ConflictError(
            f"bundle {content.version} is {content.state} by "
            f"{_last_operator(content)}, expected {' or '.join(allowed)}"
        )


def _require_digest(content: BundleVersion, digest: str) -> None:
    if content.digest != digest:
        raise ConflictError(
            f"bundle {content.version} has digest {content.digest}, the request names "
            f"{digest}"
        )


def _version_write(content: BundleVersion) -> Write:
    return Write(version_key(content.version), msgspec.json.encode(content))


def _new_version_writes(content: BundleVersion) -> list[Write]:
    counter = Counter(content.version)
    return [
        _version_write(content),
        Write(BUNDLE_LAST, msgspec.json.encode(counter)),
    ]


def _head_write(content: BundleVersion, operator: Operator) -> Write:
    head = BundleHead(content.version, content.digest, operator.name)
    return Write(BUNDLE_HEAD, msgspec.json.encode(head))
