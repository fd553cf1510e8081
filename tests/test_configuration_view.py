"""Tests of the copy that a process keeps of the bundle in force and of the keys."""

import asyncio
from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiaweir.clock import ManualClock
from cassiaweir.configuration import (
    AuditedTable,
    BundleRepository,
    Operator,
    OperatorRole,
    TableView,
    ViewContent,
    parse_bundle,
)
from cassiaweir.exceptions import RefusedError
from cassiaweir.observe import EventLog
from cassiaweir.rpc._peer import age_to_ms, decode_view, encode_view, ms_to_seconds
from cassiaweir.teams import KeyRegistry
from cassiaweir.types import Write
from standins.memory import MemoryTable

BUNDLE = """
[[team]]
name = "dogana"
share = {share}
limit = {{ cpu_millis = 8000, memory_mb = 1024 }}

[[queue]]
name = "audits"

[[queue]]
name = "public"
open = true
team = "dogana"
"""
ROLES = frozenset(OperatorRole)
ANNA = Operator("anna", ROLES)
BRUNO = Operator("bruno", ROLES)
AGE_LIMIT = timedelta(seconds=3)
ROUNDING_MARGIN_SECONDS = 0.000_01
"""Covers the rounding of ages to microseconds."""
AGE_LIMIT_SECONDS = AGE_LIMIT.total_seconds()


class Cell:
    """A table with bundles and keys, and a factory of views of it."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable()
        audited = AuditedTable(self.table, self.clock)
        self.bundles = BundleRepository(audited)
        self.keys = KeyRegistry(audited, self.clock)

    def view(self, table=None) -> TableView:
        return TableView(
            table or self.table,
            EventLog("view", self.clock),
            self.clock,
            poll=timedelta(milliseconds=500),
            age_limit=AGE_LIMIT,
        )

    async def roll_out(self, share: int = 1) -> int:
        bundle = parse_bundle({"b.toml": BUNDLE.format(share=share)})
        draft = await self.bundles.draft(ANNA, bundle)
        await self.bundles.propose(ANNA, draft.version, draft.digest)
        await self.bundles.review(BRUNO, draft.version, draft.digest, approve=True)
        await self.bundles.roll_out(ANNA, draft.version, draft.digest)
        return draft.version


class DisconnectableTable:
    """The connection of one process to the table, which can be cut."""

    def __init__(self, table: MemoryTable) -> None:
        self.table = table
        self.cut = False

    async def read(self, keys):
        self._check()
        return await self.table.read(keys)

    async def scan(self, prefix):
        self._check()
        return await self.table.scan(prefix)

    def _check(self):
        if self.cut:
            down = MemoryTable()
            down.down = True
            down._require_up()


def reason(view: TableView, secret: str) -> str:
    with pytest.raises(RefusedError) as caught:
        view.authenticate(secret)
    assert caught.value.verdict == "not_run"
    return caught.value.reason


async def test_a_refresh_without_changes_reads_the_table_once():
    cell = Cell()
    view = cell.view()
    await cell.roll_out()
    await view.refresh()
    before = cell.table.reads
    await view.refresh()
    assert cell.table.reads == before + 1
    assert view.team("dogana").share == 1
    assert view.queue("public").open
    assert view.queue("audits").team == ""
    assert view.queue("none") is None


async def test_the_age_limit_applies_to_keys_but_not_to_open_queues():
    cell = Cell()
    view = cell.view()
    await cell.roll_out()
    key = await cell.keys.grant(ANNA, "dogana")
    await view.refresh()
    cell.table.down = True
    cell.clock.advance(AGE_LIMIT_SECONDS)
    await view.refresh()
    assert view.authenticate(key.secret) == "dogana"
    cell.clock.advance(0.001)
    with pytest.raises(RefusedError) as caught:
        view.authenticate(key.secret)
    assert caught.value.reason == "view_too_old"
    assert caught.value.retry_after > timedelta(0)
    assert view.queue("public").open
    cell.table.down = False
    await view.refresh()
    assert view.authenticate(key.secret) == "dogana"


async def test_a_refusal_gives_the_reason():
    cell = Cell()
    view = cell.view()
    assert reason(view, "x") == "view_too_old"
    await view.refresh()
    assert reason(view, "x") == "key_unknown"
    key = await cell.keys.grant(ANNA, "dogana")
    await view.refresh()
    assert reason(view, key.secret) == "key_unknown"
    await cell.roll_out()
    await cell.keys.withdraw(ANNA, key.digest)
    await view.refresh()
    assert reason(view, key.secret) == "key_withdrawn"
    cell.clock.advance(AGE_LIMIT_SECONDS + 1)
    assert reason(view, key.secret) == "key_withdrawn"


async def test_the_time_that_a_read_takes_counts_as_age():
    cell = Cell()
    view = cell.view()
    read = cell.table.read

    async def slow(keys):
        rows = await read(keys)
        cell.clock.advance(2)
        return rows

    cell.table.read = slow
    await view.refresh()
    assert view.age() == timedelta(seconds=2)


async def test_a_lower_head_is_not_installed_and_does_not_reset_the_age():
    cell = Cell()
    view = cell.view()
    await cell.roll_out()
    old = cell.table._rows["bundle/head"].value
    await cell.roll_out(share=2)
    await view.refresh()
    await cell.table.commit([], [Write("bundle/head", old)])
    cell.clock.advance(5)
    await view.refresh()
    assert view.bundle_version == 2
    assert view.team("dogana").share == 2
    assert view.age() == timedelta(seconds=5)


async def test_content_with_another_digest_is_not_installed():
    cell = Cell()
    view = cell.view()
    await cell.roll_out()
    key = "bundle/version/0000000001"
    value = cell.table._rows[key].value.replace(b'"share":1', b'"share":9')
    await cell.table.commit([], [Write(key, value)])
    await view.refresh()
    assert view.bundle_version == 0
    assert view.age() == timedelta.max


async def test_an_announced_version_wakes_the_view_once():
    cell = Cell()
    view = cell.view()
    view.notify_versions(0, 0)
    assert not view._wake.is_set()
    view.notify_versions(1, 0)
    assert view._wake.is_set()
    view._wake.clear()
    view.notify_versions(1, 0)
    assert not view._wake.is_set()


async def test_a_started_view_polls_the_table():
    cell = Cell()
    view = cell.view()
    await view.start()
    await cell.roll_out()
    installed = asyncio.Event()
    install = view.install

    def install_and_signal(content):
        install(content)
        installed.set()

    view.install = install_and_signal
    await installed.wait()
    await view.stop()
    assert view.team("dogana").share == 1


def transfer_view(
    receiver: TableView, sender: TableView, now: float, delay: float
) -> None:
    """Install the sender's view in the receiver, as a call between them does.

    The receiver has sent the call `delay` seconds before `now`.
    """
    content = sender.export_newer(receiver.bundle_version, receiver.keys_version)
    receiver.install(decode_view(encode_view(content, now), now - delay))


class ViewAges(RuleBasedStateMachine):
    """Three views refresh from the table and each other while keys are withdrawn."""

    def __init__(self) -> None:
        super().__init__()
        self.cell = Cell()
        self.tables = [DisconnectableTable(self.cell.table) for _ in range(3)]
        self.views = [self.cell.view(table) for table in self.tables]
        self.granted = []
        self.withdrawn = {}
        self.seen = [(0, 0)] * 3
        asyncio.run(self.cell.roll_out())

    @rule()
    def grant(self):
        key = asyncio.run(self.cell.keys.grant(ANNA, "dogana"))
        self.granted.append((self.cell.clock.monotonic(), key))

    @rule(index=st.integers(0, 5))
    def withdraw(self, index):
        if index < len(self.granted):
            _, key = self.granted[index]
            asyncio.run(self.cell.keys.withdraw(BRUNO, key.digest))
            self.withdrawn.setdefault(key.secret, self.cell.clock.monotonic())

    @rule()
    def roll_out(self):
        asyncio.run(self.cell.roll_out())

    @rule(view=st.integers(0, 2), cut=st.booleans())
    def cut(self, view, cut):
        self.tables[view].cut = cut

    @rule(view=st.integers(0, 2))
    def refresh(self, view):
        asyncio.run(self.views[view].refresh())

    @rule(receiver=st.integers(0, 2), sender=st.integers(0, 2), delay=st.floats(0, 2))
    def receive_view(self, receiver, sender, delay):
        now = self.cell.clock.monotonic()
        transfer_view(self.views[receiver], self.views[sender], now, delay)

    @rule(receiver=st.integers(0, 2), sender=st.integers(0, 2), delay=st.floats(0, 2))
    def confirm_versions(self, receiver, sender, delay):
        """Confirm the sender's versions from its answer to a call.

        The receiver has sent the call `delay` seconds ago.
        """
        sending_view = self.views[sender]
        age = ms_to_seconds(age_to_ms(sending_view.age()))
        fresh_at = self.cell.clock.monotonic() - delay - age
        versions = sending_view.bundle_version, sending_view.keys_version
        self.views[receiver].confirm_versions(*versions, fresh_at)

    @rule(seconds=st.floats(0, 2))
    def wait(self, seconds):
        self.cell.clock.advance(seconds)

    @rule(view=st.integers(0, 2))
    def replace(self, view):
        self.views[view] = self.cell.view(self.tables[view])
        self.seen[view] = (0, 0)

    @invariant()
    def no_view_goes_back_to_a_lower_version(self):
        for index, view in enumerate(self.views):
            now = (view.bundle_version, view.keys_version)
            assert now[0] >= self.seen[index][0] and now[1] >= self.seen[index][1]
            self.seen[index] = now

    @invariant()
    def a_view_knows_all_changes_older_than_its_age(self):
        now = self.cell.clock.monotonic()
        for view in self.views:
            for changed_at, key in self.granted:
                if (
                    now - changed_at
                    > view.age().total_seconds() + ROUNDING_MARGIN_SECONDS
                ):
                    assert key.digest in view._keys
            for secret, changed_at in self.withdrawn.items():
                if (
                    now - changed_at
                    > view.age().total_seconds() + ROUNDING_MARGIN_SECONDS
                ):
                    assert reason(view, secret) == "key_withdrawn"

    @invariant()
    def a_withdrawn_key_is_refused_within_the_age_limit(self):
        now = self.cell.clock.monotonic()
        overdue = [
            secret
            for secret, changed_at in self.withdrawn.items()
            if now - changed_at > AGE_LIMIT_SECONDS + ROUNDING_MARGIN_SECONDS
        ]
        for secret in overdue:
            for view in self.views:
                assert reason(view, secret) in ("key_withdrawn", "view_too_old")


TestViewAges = ViewAges.TestCase
TestViewAges.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=30, deadline=None
)


async def test_a_current_part_does_not_reset_the_age_of_an_outdated_one():
    cell = Cell()
    view = cell.view()
    await view.refresh()
    cell.clock.advance(10)
    view.install(ViewContent(1, None, 1, {}, 10.0))
    assert view.age() == timedelta(seconds=10)
    view.confirm_versions(1, 1, 10.0)
    assert view.age() == timedelta(seconds=10)
    view.confirm_versions(0, 1, 9.0)
    assert view.age() == timedelta(seconds=1)


async def test_confirming_newer_keys_without_content_does_not_reset_the_age():
    cell = Cell()
    view = cell.view()
    await view.refresh()
    cell.clock.advance(10)
    view.confirm_versions(0, 1, 10.0)
    assert view.age() == timedelta(seconds=10)


async def test_lower_content_from_a_peer_is_not_installed():
    cell = Cell()
    old, new = cell.view(), cell.view()
    await cell.roll_out(share=1)
    key = await cell.keys.grant(ANNA, "dogana")
    await old.refresh()
    await cell.roll_out(share=2)
    await cell.keys.withdraw(ANNA, key.digest)
    await new.refresh()
    new.install(old.export_newer(0, 0))
    assert new.team("dogana").share == 2
    assert reason(new, key.secret) == "key_withdrawn"
