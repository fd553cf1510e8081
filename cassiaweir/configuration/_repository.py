"""The life of a bundle version, as an aggregate over rows of the table."""

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
REVIEWABLE = (BundleState.PROPOSED, BundleState.APPROVED)


@dataclass(frozen=True, slots=True)
class _Stored:
    """A bundle version and the row that it was read from."""

    row: Row
    content: BundleVersion


class BundleRepository:
    """Bundle versions: draft, proposed, approved, rolled out.

    Every method is one transaction with its audit row.  All raise `ConflictError`
    naming the winner where a concurrent change came first, `RefusedError` for a
    missing role, and `UnavailableError` where the table cannot settle the outcome.
    """

    def __init__(self, audited: AuditedTable) -> None:
        self._audited = audited
        self._table = audited.table

    async def head(self) -> BundleHead:
        """Return the head; version 0 before the first roll-out."""
        return decode_head((await self._table.read([BUNDLE_HEAD])).get(BUNDLE_HEAD))

    async def get(self, version: int) -> BundleVersion:
        """Return bundle `version`, or raise `NotFoundError`."""
        return (await self._load(version)).content

    async def history(self) -> list[BundleVersion]:
        """Return all versions in rising order."""
        rows = await scan_in_pages(
            self._table, BUNDLE_VERSION_PREFIX, page=VERSIONS_PER_PAGE
        )
        return [msgspec.json.decode(row.value, type=BundleVersion) for row in rows]

    async def draft(self, author: Operator, bundle: Bundle) -> BundleVersion:
        """Store `bundle` as a new version, made from the version in force."""
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
        await self._commit(author, "draft", content, checks, _new_version(content))
        return content

    async def propose(
        self, author: Operator, version: int, digest: str
    ) -> BundleVersion:
        """Ask for review of a draft; its content is fixed from then on."""
        author.require(OperatorRole.AUTHOR)
        stored = await self._load(version)
        _require_digest(stored.content, digest)
        _require_state(stored.content, (BundleState.DRAFT,))
        if stored.content.author != author.name:
            raise InvalidInputError(
                f"bundle {version}: only its author {stored.content.author} proposes it"
            )
        changed = msgspec.structs.replace(stored.content, state=BundleState.PROPOSED)
        return await self._replace(author, "propose", stored, changed)

    async def review(
        self,
        reviewer: Operator,
        version: int,
        digest: str,
        *,
        approve: bool,
        comment: str = "",
    ) -> BundleVersion:
        """Approve or reject the content with `digest`; not for its author."""
        reviewer.require(OperatorRole.REVIEWER)
        stored = await self._load(version)
        _require_digest(stored.content, digest)
        _require_state(stored.content, REVIEWABLE)
        if stored.content.author == reviewer.name:
            raise InvalidInputError(f"bundle {version}: its author cannot review it")
        review = Review(reviewer.name, digest, approve, comment)
        changed = msgspec.structs.replace(
            stored.content,
            state=BundleState.APPROVED if approve else BundleState.REJECTED,
            reviews=[*stored.content.reviews, review],
            approved_by=reviewer.name if approve else "",
        )
        action = "approve" if approve else "reject"
        return await self._replace(reviewer, action, stored, changed)

    async def roll_out(
        self, operator: Operator, version: int, digest: str
    ) -> BundleVersion:
        """Put an approved version in force everywhere.

        The head must still be the version that this one was made from: what another
        operator has rolled out since is never undone unseen.
        """
        operator.require(OperatorRole.ON_CALL)
        stored = await self._load(version)
        _require_digest(stored.content, digest)
        _require_state(stored.content, (BundleState.APPROVED,))
        head_row = (await self._table.read([BUNDLE_HEAD])).get(BUNDLE_HEAD)
        head = decode_head(head_row)
        if head.version != stored.content.base:
            raise _lost_to(head, version, stored.content.base)
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

        The content was signed by two operators when it was first rolled out, so that
        it needs no other approval.  `head` is the version in force that the operator
        has seen; another one is not undone.
        """
        operator.require(OperatorRole.ON_CALL)
        earlier = (await self._load(version)).content
        _require_state(earlier, (BundleState.ROLLED_OUT,))
        rows = await self._table.read([BUNDLE_HEAD, BUNDLE_LAST])
        found = decode_head(rows.get(BUNDLE_HEAD))
        if head not in (None, found.version):
            raise ConflictError(
                f"version {head} is no longer in force: {found.operator} has rolled "
                f"out version {found.version} with digest {found.digest}"
            )
        content = msgspec.structs.replace(
            earlier,
            version=decode_counter(rows.get(BUNDLE_LAST)).version + 1,
            base=found.version,
            rolled_out_by=operator.name,
            reverts_to=version,
        )
        checks = [
            unchanged_check(BUNDLE_HEAD, rows.get(BUNDLE_HEAD)),
            unchanged_check(BUNDLE_LAST, rows.get(BUNDLE_LAST)),
        ]
        writes = [*_new_version(content), _head_write(content, operator)]
        await self._commit(operator, "revert", content, checks, writes)
        return content

    async def _load(self, version: int) -> _Stored:
        key = version_key(version)
        row = (await self._table.read([key])).get(key)
        if row is None:
            raise NotFoundError(f"bundle {version} does not exist")
        return _Stored(row, msgspec.json.decode(row.value, type=BundleVersion))

    async def _replace(
        self, operator: Operator, action: str, stored: _Stored, changed: BundleVersion
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
            raise await self._explain(action, content) from exc

    async def _explain(self, action: str, content: BundleVersion) -> ConflictError:
        """Return the error that names who changed the version or the head first."""
        key = version_key(content.version)
        rows = await self._table.read([BUNDLE_HEAD, key])
        head = decode_head(rows.get(BUNDLE_HEAD))
        if action in HEAD_ACTIONS and head.version != content.base:
            return _lost_to(head, content.version, content.base)
        row = rows.get(key)
        if row is None:
            return ConflictError(f"bundle {content.version}: {action} lost a race")
        found = msgspec.json.decode(row.value, type=BundleVersion)
        return ConflictError(
            f"bundle {content.version}: {action} lost a race; it is {found.state} "
            f"with digest {found.digest} by {_last_operator(found)}"
        )


def _lost_to(head: BundleHead, version: int, base: int) -> ConflictError:
    return ConflictError(
        f"bundle {version} was made from version {base}, but {head.operator} has "
        f"rolled out version {head.version} with digest {head.digest}; compare the "
        "two and draft again"
    )


def _last_operator(content: BundleVersion) -> str:
    reviewers = [review.reviewer for review in content.reviews[-1:]]
    return content.rolled_out_by or "".join(reviewers) or content.author


def _require_state(content: BundleVersion, allowed: tuple[BundleState, ...]) -> None:
    if content.state not in allowed:
        raise ConflictError(
            f"bundle {content.version} is {content.state} by "
            f"{_last_operator(content)}, not {' or '.join(allowed)}"
        )


def _require_digest(content: BundleVersion, digest: str) -> None:
    if content.digest != digest:
        raise ConflictError(
            f"bundle {content.version} has digest {content.digest}, not {digest}"
        )


def _version_write(content: BundleVersion) -> Write:
    return Write(version_key(content.version), msgspec.json.encode(content))


def _new_version(content: BundleVersion) -> list[Write]:
    counter = Counter(content.version)
    return [
        _version_write(content),
        Write(BUNDLE_LAST, msgspec.json.encode(counter)),
    ]


def _head_write(content: BundleVersion, operator: Operator) -> Write:
    head = BundleHead(content.version, content.digest, operator.name)
    return Write(BUNDLE_HEAD, msgspec.json.encode(head))
