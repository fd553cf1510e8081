"""Tests of granting and withdrawing keys."""

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
    """Runs `racer` just before the next commit."""

    def __init__(self) -> None:
        super().__init__()
        self.racer = None

    async def commit(self, checks, writes):
        racer, self.racer = self.racer, None
        if racer is not None:
            await racer()
        return await super().commit(checks, writes)


def make() -> tuple[RacingTable, AuditedTable, KeyRegistry]:
    table = RacingTable()
    audited = AuditedTable(table, ManualClock())
    return table, audited, KeyRegistry(audited, ManualClock())


async def test_the_secret_is_in_no_row():
    table, _, registry = make()
    key = await registry.grant(ANNA, "dogana")
    assert all(key.secret.encode() not in row.value for row in await table.scan(""))
    assert all(key.secret not in row.key for row in await table.scan(""))


async def test_each_change_raises_the_head_and_leaves_an_audit_row():
    table, audited, registry = make()
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
    _, _, registry = make()
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


async def test_uses_wait_while_the_table_is_down():
    table, _, registry = make()
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


async def test_a_race_on_the_head_alone_is_won_by_both():
    table, _, registry = make()

    async def race():
        await registry.grant(BRUNO, "porto")

    table.racer = race
    await registry.grant(ANNA, "dogana")
    assert len(await registry.list()) == 2
    assert (await table.read(["keys/head"]))["keys/head"].value == b'{"version":2}'


async def test_the_loser_of_a_race_on_one_key_is_told_who_won():
    table, _, registry = make()
    key = await registry.grant(ANNA, "dogana")

    async def race():
        await registry.withdraw(BRUNO, key.digest)

    table.racer = race
    with pytest.raises(ConflictError, match="changed by bruno"):
        await registry.withdraw(ANNA, key.digest)


async def test_a_lost_answer_is_read_back():
    table, audited, registry = make()
    key = await registry.grant(ANNA, "dogana")
    table.lose_answers = 1
    await registry.withdraw(ANNA, key.digest)
    assert len(await audited.entries("keys")) == 2


async def test_wrong_prefixes_and_roles_are_refused():
    _, _, registry = make()
    with pytest.raises(InvalidInputError, match="at least 8"):
        await registry.withdraw(ANNA, "abc")
    with pytest.raises(NotFoundError, match="no key"):
        await registry.withdraw(ANNA, "abcdefab")
    with pytest.raises(RefusedError, match="lacks the role"):
        await registry.grant(AUTHOR, "dogana")
