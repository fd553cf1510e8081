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

OPERATORS = "operator/"
OPERATOR_NAMES = "operator_name/"
SECRET_BYTES = 32
FIRST_OPERATOR = "first-operator"
AUDIT_AREA = "operators"


class OperatorRole(StrEnum):
    """What an operator may do."""

    AUTHOR = "author"
    REVIEWER = "reviewer"
    ON_CALL = "on_call"


@dataclass(frozen=True, slots=True)
class Operator:
    """An operator who has presented a credential."""

    name: str
    roles: frozenset[OperatorRole]

    def require(self, role: OperatorRole) -> None:
        """Raise `RefusedError` with reason `role_missing` where `role` is missing."""
        if role not in self.roles:
            raise RefusedError(
                "role_missing", f"operator {self.name} lacks the role {role}"
            )


class OperatorRow(msgspec.Struct, frozen=True):
    """The row `operator/<digest>`."""

    name: str
    roles: list[OperatorRole]


class OperatorNameRow(msgspec.Struct, frozen=True):
    """The row `operator_name/<name>`: one credential for each name."""

    digest: str


def secret_digest(secret: str) -> str:
    """Return the SHA-256 of `secret` in hexadecimal."""
    return hashlib.sha256(secret.encode()).hexdigest()


class Operators:
    """Operators' credentials, kept as digests.

    `first_operator_digest` is the digest of a credential that has all roles and is
    in no row; it serves to add the others and is then taken out of the settings.
    """

    def __init__(self, audited: AuditedTable, first_operator_digest: str = "") -> None:
        self._audited = audited
        self._table = audited.table
        self._first_digest = first_operator_digest

    async def authenticate(self, secret: str) -> Operator:
        """Return the operator whose credential is `secret`.

        Raises `RefusedError` with reason `operator_unknown`, and `UnavailableError`
        where the table cannot be read: no administrative change goes on without it.
        """
        digest = secret_digest(secret)
        if self._first_digest and hmac.compare_digest(digest, self._first_digest):
            return Operator(FIRST_OPERATOR, frozenset(OperatorRole))
        key = OPERATORS + digest
        row = (await self._table.read([key])).get(key)
        if row is None:
            raise RefusedError("operator_unknown", "no operator has this credential")
        operator = msgspec.json.decode(row.value, type=OperatorRow)
        return Operator(operator.name, frozenset(operator.roles))

    async def add(self, by: Operator, name: str, roles: Sequence[OperatorRole]) -> str:
        """Add an operator and return the credential, which is not shown again.

        Only an operator with all roles may, as a second identity would let its
        holder approve what it wrote.
        """
        _require_all(by)
        if not name or name == FIRST_OPERATOR or not roles:
            raise InvalidInputError("operator: expected a name of its own and a role")
        secret = secrets.token_urlsafe(SECRET_BYTES)
        digest = secret_digest(secret)
        row = OperatorRow(name, sorted(set(roles)))
        name_key = OPERATOR_NAMES + name
        try:
            await self._audited.commit(
                by.name,
                "add_operator",
                [Check(name_key, 0), Check(OPERATORS + digest, 0)],
                [
                    Write(OPERATORS + digest, msgspec.json.encode(row)),
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

    async def remove(self, by: Operator, name: str) -> None:
        """Remove the operator called `name` and its credential."""
        _require_all(by)
        name_key = OPERATOR_NAMES + name
        row = (await self._table.read([name_key])).get(name_key)
        if row is None:
            raise NotFoundError(f"operator {name} does not exist")
        digest = msgspec.json.decode(row.value, type=OperatorNameRow).digest
        await self._audited.commit(
            by.name,
            "remove_operator",
            [unchanged_check(name_key, row)],
            [Write(name_key, None), Write(OPERATORS + digest, None)],
            area=AUDIT_AREA,
            version=0,
            digest=digest,
            detail=name,
        )

    async def by_digest(self) -> dict[str, Operator]:
        """Return all operators of the table by the digests of their credentials."""
        found = {}
        for row in await self._table.scan(OPERATORS):
            content = msgspec.json.decode(row.value, type=OperatorRow)
            operator = Operator(content.name, frozenset(content.roles))
            found[row.key.removeprefix(OPERATORS)] = operator
        return found

    async def list(self) -> list[OperatorRow]:
        """Return all operators of the table, by name."""
        rows = await self._table.scan(OPERATORS)
        found = [msgspec.json.decode(row.value, type=OperatorRow) for row in rows]
        return sorted(found, key=lambda operator: operator.name)


def _require_all(operator: Operator) -> None:
    for role in OperatorRole:
        operator.require(role)
