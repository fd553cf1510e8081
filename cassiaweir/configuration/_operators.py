"""Operators, their credentials and their roles."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from cassiaweir.configuration._audit import AuditedTable
from cassiaweir.configuration._rows import unchanged_check
from cassiaweir.exceptions import (
    ConflictError,
    InvalidInputError,
    NotFoundError,
    RefusedError,
)
from cassiaweir.types import Check, Write

OPERATOR_PREFIX = "operator/"
OPERATOR_NAME_PREFIX = "operator_name/"
SECRET_BYTES = 32
FIRST_OPERATOR_NAME = "first-operator"
AUDIT_AREA = "operators"


class OperatorRole(StrEnum):
    """What an operator may do.

    An author drafts and proposes bundles, and a reviewer approves or rejects them.
    An operator on call rolls them out, reverts to earlier ones, and changes keys,
    jobs and VMs.
    """

    AUTHOR = "author"
    REVIEWER = "reviewer"
    ON_CALL = "on_call"


@dataclass(frozen=True, slots=True)
class Operator:
    """An operator and the roles that the operator has."""

    name: str
    roles: frozenset[OperatorRole]

    def require(self, role: OperatorRole) -> None:
        """Raise `RefusedError` with reason `role_missing` if `role` is missing."""
        if role not in self.roles:
            raise RefusedError(
                "role_missing", f"operator {self.name} lacks the role {role}"
            )


class OperatorRow(msgspec.Struct, frozen=True):
    """The row `operator/<digest>`, where the digest is that of the credential."""

    name: str
    roles: list[OperatorRole]


class OperatorNameRow(msgspec.Struct, frozen=True):
    """The row `operator_name/<name>`, with the digest of the operator's credential.

    It keeps a second operator from getting the same name.
    """

    digest: str


def secret_digest(secret: str) -> str:
    """Return the SHA-256 of `secret` in hexadecimal."""
    return hashlib.sha256(secret.encode()).hexdigest()


class Operators:
    """The operators in the table, whose credentials are stored only as digests.

    `first_operator_digest` comes from the settings.  It is the digest of a
    credential with all roles that is stored in no row.  It is needed to add the
    other operators, after which it is removed from the settings.
    """

    def __init__(self, audited: AuditedTable, first_operator_digest: str = "") -> None:
        self._audited = audited
        self._table = audited.table
        self._first_operator_digest = first_operator_digest

    async def authenticate(self, secret: str) -> Operator:
        """Return the operator whose credential is `secret`.

        Raises `RefusedError` with reason `operator_unknown`, and `UnavailableError`
        if the table cannot be read: without it, no administrative change is possible.
        """
        digest = secret_digest(secret)
        if self._first_operator_digest and hmac.compare_digest(
            digest, self._first_operator_digest
        ):
            return Operator(FIRST_OPERATOR_NAME, frozenset(OperatorRole))
        key = OPERATOR_PREFIX + digest
        row = (await self._table.read([key])).get(key)
        if row is None:
            raise RefusedError("operator_unknown", "no operator has this credential")
        operator = msgspec.json.decode(row.value, type=OperatorRow)
        return Operator(operator.name, frozenset(operator.roles))

    async def add(
        self, administrator: Operator, name: str, roles: Sequence[OperatorRole]
    ) -> str:
        """Add an operator and return the credential, which is not shown again.

        The administrator must have all roles: an operator with fewer could add a
        second identity and use it to approve a bundle of its own.
        """
        _require_all_roles(administrator)
        if not name or name == FIRST_OPERATOR_NAME or not roles:
            raise InvalidInputError(
                f"operator: expected a name other than {FIRST_OPERATOR_NAME!r} and at "
                f"least one role, got name {name!r} and {len(roles)} roles"
            )
        secret = secrets.token_urlsafe(SECRET_BYTES)
        digest = secret_digest(secret)
        row = OperatorRow(name, sorted(set(roles)))
        name_key = OPERATOR_NAME_PREFIX + name
        try:
            await self._audited.commit(
                administrator.name,
                "add_operator",
                [Check(name_key, 0), Check(OPERATOR_PREFIX + digest, 0)],
                [
                    Write(OPERATOR_PREFIX + digest, msgspec.json.encode(row)),
                    Write(name_key, msgspec.json.encode(OperatorNameRow(digest))),
                ],
                area=AUDIT_AREA,
                version=0,
                digest=digest,
                detail=name,
            )
        except ConflictError as exc:
            raise ConflictError(f"operator {name} exists already") from exc
        return secret

    async def remove(self, administrator: Operator, name: str) -> None:
        """Remove the operator called `name` and its credential.

        The administrator must have all roles.
        """
        _require_all_roles(administrator)
        name_key = OPERATOR_NAME_PREFIX + name
        row = (await self._table.read([name_key])).get(name_key)
        if row is None:
            raise NotFoundError(f"operator {name} does not exist")
        digest = msgspec.json.decode(row.value, type=OperatorNameRow).digest
        await self._audited.commit(
            administrator.name,
            "remove_operator",
            [unchanged_check(name_key, row)],
            [Write(name_key, None), Write(OPERATOR_PREFIX + digest, None)],
            area=AUDIT_AREA,
            version=0,
            digest=digest,
            detail=name,
        )

    async def by_digest(self) -> dict[str, Operator]:
        """Return all operators in the table by the digests of their credentials."""
        found = {}
        for row in await self._table.scan(OPERATOR_PREFIX):
            content = msgspec.json.decode(row.value, type=OperatorRow)
            operator = Operator(content.name, frozenset(content.roles))
            found[row.key.removeprefix(OPERATOR_PREFIX)] = operator
        return found

    async def list(self) -> list[OperatorRow]:
        """Return the rows of all operators in the table, sorted by name."""
        rows = await self._table.scan(OPERATOR_PREFIX)
        found = [msgspec.json.decode(row.value, type=OperatorRow) for row in rows]
        return sorted(found, key=lambda operator: operator.name)


def _require_all_roles(operator: Operator) -> None:
    for role in OperatorRole:
        operator.require(role)
