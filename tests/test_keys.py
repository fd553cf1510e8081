"""Tests of granting, withdrawing and listing keys, and of storing their uses."""

from datetime import UTC, datetime

import pytest

from cassiaweir.clock import ManualClock
from cassiaweir.configuration import AuditedTable, Operator, OperatorRole
from cassiaweir.exceptions import (
    ConflictError,
    InvalidInputError,
    NotFoundError,
    RefusedError,
)
from cassiaweir.teams import KeyRegistry, KeyUseWriter
from standins.memory import MemoryTable

ANNA = Operator("anna", frozenset({OperatorRole.ON_CALL}))
BRUNO = Operator("bruno", frozenset({OperatorRole.ON_CALL}))
AUTHOR = Operator("carla", frozenset({OperatorRole.AUTHOR}))


class RacingTable(MemoryTable):
    """Runs `before_commit` once, just before the next commit."""

    def __init__(self) -> None:
        super().__init__()
        self.before_commit = None

    async def commit(self, checks, writes):
        before_commit, self.before_commit = self.before_commit, None
        if before_commit is not None:
            await before_commit()
        return await super().commit(checks, writes)


def make_registry() -> tuple[RacingTable, AuditedTable, KeyRegistry]:
    table = RacingTable()
    audited = AuditedTable(table, ManualClock())
    return table, audited, KeyRegistry(audited, ManualClock())


async def test_the_secret_is_in_no_row():
    table, _, registry = make_registry()
    key = await registry.grant(ANNA, "dogana")
    assert all(key.secret.encode() not in row.value for row in await table.scan(""))
    assert all(key.secret not in row.key for row in await table.scan(""))


async def test_each_change_increments_the_head_and_writes_an_audit_row():
    table, audited, registry = make_registry()
    key = await registry.grant(ANNA, "dogana")
    assert await registry.withdraw(BRUNO, key.digest[:8]) == key.digest
    assert await registry.withdraw(BRUNO, key.digest) == key.digest
    head = (await table.read(["keys/head"]))["keys/head"]
    assert head.value == b'{"version":2}'
    entries = await audited.entries("keys")
    assert [(e.operator, e.action, e.version) for e in entries] == [
        ("anna", "grant", 1),
        ("bruno", "withdraw", 2),
    ]
    assert {entry.digest for entry in entries} == {key.digest}


async def test_keys_are_listed_with_their_last_use():
    _, _, registry = make_registry()
    key = await registry.grant(ANNA, "dogana")
    await registry.grant(ANNA, "porto")
    late, early = datetime(2026, 2, 2, tzinfo=UTC), datetime(2026, 1, 1, tzinfo=UTC)
    await registry.record_uses({key.digest: late})
    await registry.record_uses({key.digest: early})
    await registry.record_uses({})
    (listed,) = await registry.list("dogana")
    assert (listed.digest, listed.last_use) == (key.digest, late)
    assert not listed.withdrawn
    assert len(await registry.list()) == 2


async def test_uses_are_kept_while_the_table_is_down():
    table, _, registry = make_registry()
    key = await registry.grant(ANNA, "dogana")
    used = datetime(2026, 2, 2, tzinfo=UTC)
    uses = [{key.digest: used}, {}, {}]
    writer = KeyUseWriter(registry, ManualClock(), take_uses=lambda: uses.pop(0))
    table.down = True
    await writer.flush()
    table.down = False
    await writer.start()
    await writer.stop()
    (listed,) = await registry.list()
    assert listed.last_use == used


async def test_concurrent_grants_that_only_conflict_on_the_head_both_succeed():
    table, _, registry = make_registry()

    async def change_meanwhile():
        await registry.grant(BRUNO, "porto")

    table.before_commit = change_meanwhile
    await registry.grant(ANNA, "dogana")
    assert len(await registry.list()) == 2
    assert (await table.read(["keys/head"]))["keys/head"].value == b'{"version":2}'


async def test_a_conflict_on_one_key_names_who_changed_it():
    table, _, registry = make_registry()
    key = await registry.grant(ANNA, "dogana")

    async def change_meanwhile():
        await registry.withdraw(BRUNO, key.digest)

    table.before_commit = change_meanwhile
    with pytest.raises(ConflictError, match="changed by bruno"):
        await registry.withdraw(ANNA, key.digest)


async def test_a_withdrawal_with_a_lost_answer_is_recorded_once():
    table, audited, registry = make_registry()
    key = await registry.grant(ANNA, "dogana")
    table.lose_answers = 1
    await registry.withdraw(ANNA, key.digest)
    assert len(await audited.entries("keys")) == 2


async def test_wrong_prefixes_and_roles_are_refused():
    _, _, registry = make_registry()
    with pytest.raises(InvalidInputError, match="at least 8"):
        await registry.withdraw(ANNA, "abc")
    with pytest.raises(NotFoundError, match="no key"):
        await registry.withdraw(ANNA, "abcdefab")
    with pytest.raises(RefusedError, match="lacks the role"):
        await registry.grant(AUTHOR, "dogana")
