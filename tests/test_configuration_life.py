"""Tests of the life of a bundle: races, lost answers, crashes and rereads."""

import asyncio
import contextlib
from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiaweir.clock import ManualClock
from cassiaweir.configuration import (
    AuditedTable,
    Bundle,
    BundleRepository,
    BundleState,
    Limit,
    Operator,
    OperatorRole,
    Operators,
    TableView,
    TeamEntry,
    secret_digest,
)
from cassiaweir.exceptions import (
    CassiaweirError,
    ConflictError,
    InvalidInputError,
    NotFoundError,
    RefusedError,
    UnavailableError,
)
from cassiaweir.observe import EventLog
from cassiaweir.verdict import Verdict
from standins.memory import MemoryTable

ROLES = frozenset(OperatorRole)
OPERATORS = (Operator("anna", ROLES), Operator("bruno", ROLES))
ANNA, BRUNO = OPERATORS
STEPS = ("draft", "propose", "approve", "reject", "roll_out", "revert")
FAULTS = ("none", "lost", "dropped", "late", "lost_and_down")


class FaultyTable(MemoryTable):
    """Adds commits that vanish or apply late, and a racer before a commit."""

    def __init__(self) -> None:
        super().__init__()
        self.fault = "none"
        self.racer = None
        self._held = None

    async def commit(self, checks, writes):
        racer, self.racer = self.racer, None
        if racer is not None:
            await racer()
        await self._apply_held()
        fault, self.fault = self.fault, "none"
        if fault in ("dropped", "late"):
            self._held = (checks, writes) if fault == "late" else None
            raise UnavailableError("no answer", verdict=Verdict.MAY_HAVE_RUN)
        if fault in ("lost", "lost_and_down"):
            self.lose_answers = 1
        try:
            return await super().commit(checks, writes)
        finally:
            self.down = fault == "lost_and_down"

    async def _apply_held(self) -> None:
        held, self._held = self._held, None
        if held is None:
            return
        with contextlib.suppress(ConflictError):
            await super().commit(*held)


def bundle(share: int) -> Bundle:
    return Bundle(team=[TeamEntry("dogana", share, Limit(1, 1))])


async def step(repository, action, operator, version, share):
    """Do one step of `operator`, who has read the version before."""
    if action == "draft":
        return await repository.draft(operator, bundle(share))
    if action == "revert":
        return await repository.revert_to(operator, version)
    digest = (await repository.get(version)).digest
    if action == "propose":
        return await repository.propose(operator, version, digest)
    if action == "roll_out":
        return await repository.roll_out(operator, version, digest)
    approve = action == "approve"
    return await repository.review(operator, version, digest, approve=approve)


def make_view(table) -> TableView:
    clock = ManualClock()
    return TableView(
        table,
        EventLog("view", clock),
        clock,
        poll=timedelta(milliseconds=500),
        age_limit=timedelta(seconds=3),
    )


class BundleLife(RuleBasedStateMachine):
    """Two operators work on the same versions while the table misbehaves."""

    def __init__(self) -> None:
        super().__init__()
        self.table = FaultyTable()
        self.audited = AuditedTable(self.table, ManualClock())
        self.repository = BundleRepository(self.audited)
        self.view = make_view(self.table)
        self.highest = 0
        self.succeeded = 0
        self.doubtful = 0

    @rule(
        action=st.sampled_from(STEPS),
        rival=st.sampled_from((None, *STEPS)),
        fault=st.sampled_from(FAULTS),
        operator=st.sampled_from(OPERATORS),
        other=st.sampled_from(OPERATORS),
        version=st.integers(1, 4),
        share=st.integers(1, 3),
    )
    def act(self, action, rival, fault, operator, other, version, share):
        async def race():
            self.table.fault = "none"
            await self.attempt(rival, other, version, share)
            self.table.fault = fault

        async def both():
            self.table.fault = fault
            self.table.racer = race if rival else None
            await self.attempt(action, operator, version, share)

        asyncio.run(both())
        self.table.racer = None
        self.table.fault = "none"
        self.table.down = False

    async def attempt(self, action, operator, version, share):
        try:
            await step(self.repository, action, operator, version, share)
            self.succeeded += 1
        except UnavailableError as exc:
            self.doubtful += exc.verdict is Verdict.MAY_HAVE_RUN
        except (ConflictError, InvalidInputError, NotFoundError) as exc:
            assert str(exc)

    @rule(author=st.sampled_from(OPERATORS), share=st.integers(1, 3))
    def whole_life(self, author, share):
        reviewer = BRUNO if author is ANNA else ANNA

        async def body():
            draft = await self.repository.draft(author, bundle(share))
            version = draft.version
            for action, operator in (
                ("propose", author),
                ("approve", reviewer),
                ("roll_out", author),
            ):
                await step(self.repository, action, operator, version, share)

        asyncio.run(body())
        self.succeeded += 4

    @rule()
    def restart(self):
        """Start afresh, as a replaced process does, and read everything again."""
        self.repository = BundleRepository(self.audited)
        self.view = make_view(self.table)

    @invariant()
    def the_head_never_goes_back_and_the_view_follows(self):
        head = asyncio.run(self.repository.head())
        assert head.version >= self.highest
        self.highest = head.version
        before = self.view.bundle_version
        asyncio.run(self.view.refresh())
        assert before <= self.view.bundle_version == head.version

    @invariant()
    def what_is_rolled_out_was_approved_by_another_for_this_digest(self):
        for content in asyncio.run(self.repository.history()):
            assert content.digest == content.bundle.digest()
            if content.state is BundleState.ROLLED_OUT:
                assert content.approved_by not in ("", content.author)
                last = content.reviews[-1]
                assert last.approved and last.digest == content.digest

    @invariant()
    def each_success_has_one_audit_row(self):
        entries = asyncio.run(self.audited.entries("bundle"))
        assert self.succeeded <= len(entries) <= self.succeeded + self.doubtful

    @invariant()
    def versions_rolled_out_follow_one_another(self):
        versions = [
            content
            for content in asyncio.run(self.repository.history())
            if content.state is BundleState.ROLLED_OUT
        ]
        bases = [content.base for content in versions]
        assert bases == [0, *(content.version for content in versions)][: len(bases)]


TestBundleLife = BundleLife.TestCase
TestBundleLife.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=25, deadline=None
)


async def approved(repository, author, reviewer, share):
    draft = await repository.draft(author, bundle(share))
    await repository.propose(author, draft.version, draft.digest)
    return await repository.review(reviewer, draft.version, draft.digest, approve=True)


async def test_the_loser_of_a_roll_out_is_told_who_won():
    table = FaultyTable()
    repository = BundleRepository(AuditedTable(table, ManualClock()))
    first = await approved(repository, ANNA, BRUNO, 1)
    second = await approved(repository, BRUNO, ANNA, 2)

    async def race():
        await repository.roll_out(BRUNO, second.version, second.digest)

    table.racer = race
    with pytest.raises(ConflictError, match="bruno has rolled out version 2"):
        await repository.roll_out(ANNA, first.version, first.digest)
    assert (await repository.head()).version == second.version


async def test_a_review_binds_the_digest():
    repository = BundleRepository(AuditedTable(MemoryTable(), ManualClock()))
    draft = await repository.draft(ANNA, bundle(1))
    await repository.propose(ANNA, draft.version, draft.digest)
    with pytest.raises(ConflictError, match="has digest"):
        other = bundle(2).digest()
        await repository.review(BRUNO, draft.version, other, approve=True)


async def test_roles_are_required():
    repository = BundleRepository(AuditedTable(MemoryTable(), ManualClock()))
    guest = Operator("guest", frozenset())
    for action in STEPS:
        with pytest.raises(RefusedError, match="lacks the role"):
            await _step_as(repository, action, guest)


async def _step_as(repository, action, operator):
    if action == "draft":
        await repository.draft(operator, bundle(1))
    elif action == "propose":
        await repository.propose(operator, 1, "")
    elif action == "roll_out":
        await repository.roll_out(operator, 1, "")
    elif action == "revert":
        await repository.revert_to(operator, 1)
    else:
        await repository.review(operator, 1, "", approve=True)


async def test_an_outcome_that_cannot_be_read_back_is_in_doubt():
    table = FaultyTable()
    repository = BundleRepository(AuditedTable(table, ManualClock()))
    table.fault = "lost_and_down"
    with pytest.raises(UnavailableError) as caught:
        await repository.draft(ANNA, bundle(1))
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    table.down = False
    assert len(await repository.history()) == 1


async def test_a_table_that_is_down_says_not_run():
    table = MemoryTable()
    table.down = True
    repository = BundleRepository(AuditedTable(table, ManualClock()))
    with pytest.raises(UnavailableError) as caught:
        await repository.draft(ANNA, bundle(1))
    assert caught.value.verdict is Verdict.NOT_RUN


async def test_operators_are_added_and_removed_by_one_with_all_roles():
    table = MemoryTable()
    audited = AuditedTable(table, ManualClock())
    operators = Operators(audited, secret_digest("first"))
    first = await operators.authenticate("first")
    secret = await operators.add(first, "carla", [OperatorRole.REVIEWER])
    carla = await operators.authenticate(secret)
    assert carla == Operator("carla", frozenset({OperatorRole.REVIEWER}))
    with pytest.raises(ConflictError, match="exists already"):
        await operators.add(first, "carla", [OperatorRole.AUTHOR])
    with pytest.raises(RefusedError, match="lacks the role"):
        await operators.add(carla, "dario", [OperatorRole.AUTHOR])
    assert [row.name for row in await operators.list()] == ["carla"]
    await operators.remove(first, "carla")
    for wrong in (secret, "", "first "):
        with pytest.raises(CassiaweirError, match="no operator"):
            await operators.authenticate(wrong)
    entries = await audited.entries("operators")
    assert sorted(e.action for e in entries) == ["add_operator", "remove_operator"]
    assert all(secret.encode() not in row.value for row in await table.scan(""))


async def test_a_version_made_from_an_older_one_is_not_rolled_out():
    repository = BundleRepository(AuditedTable(MemoryTable(), ManualClock()))
    first = await approved(repository, ANNA, BRUNO, 1)
    second = await approved(repository, ANNA, BRUNO, 2)
    third = await approved(repository, BRUNO, ANNA, 3)
    await repository.roll_out(BRUNO, second.version, second.digest)
    for stale in (first, third):
        with pytest.raises(ConflictError, match="bruno has rolled out version 2"):
            await repository.roll_out(ANNA, stale.version, stale.digest)
    reverted = await repository.revert_to(ANNA, second.version)
    assert reverted.version == third.version + 1
    assert (await repository.head()).version == reverted.version
