"""Tests of bundle versions and operators under conflicts and lost answers.

A state machine lets two operators act on the same versions, with concurrent changes,
faults of the table and restarts of the process.
"""

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
ACTIONS = ("draft", "propose", "approve", "reject", "roll_out", "revert")
FAULTS = ("none", "lost", "dropped", "late", "lost_and_down")


class FaultyTable(MemoryTable):
    """A table with a fault in the next commit, and a concurrent change before it.

    `before_commit` is called once, at the start of the next commit.  `fault` says what
    happens to that commit, whose caller gets no answer unless it is "none":

    - "lost" applies the commit, and only its answer is lost;
    - "lost_and_down" does so too, and the table is down afterwards;
    - "dropped" never applies the commit;
    - "late" applies it just before the commit that follows.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fault = "none"
        self.before_commit = None
        self._delayed_commit = None

    async def commit(self, checks, writes):
        before_commit, self.before_commit = self.before_commit, None
        if before_commit is not None:
            await before_commit()
        await self._apply_delayed_commit()
        fault, self.fault = self.fault, "none"
        if fault in ("dropped", "late"):
            self._delayed_commit = (checks, writes) if fault == "late" else None
            raise UnavailableError("no answer", verdict=Verdict.MAY_HAVE_RUN)
        if fault in ("lost", "lost_and_down"):
            self.lose_answers = 1
        try:
            return await super().commit(checks, writes)
        finally:
            self.down = fault == "lost_and_down"

    async def _apply_delayed_commit(self) -> None:
        delayed_commit, self._delayed_commit = self._delayed_commit, None
        if delayed_commit is None:
            return
        with contextlib.suppress(ConflictError):
            await super().commit(*delayed_commit)


def bundle(share: int) -> Bundle:
    return Bundle(team=[TeamEntry("dogana", share, Limit(1, 1))])


async def perform(repository, action, operator, version, share):
    """Let `operator` perform `action` on the digest that `version` has at present."""
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


class BundleLifecycle(RuleBasedStateMachine):
    """Two operators change the same versions while commits fail."""

    def __init__(self) -> None:
        super().__init__()
        self.table = FaultyTable()
        self.audited = AuditedTable(self.table, ManualClock())
        self.repository = BundleRepository(self.audited)
        self.view = make_view(self.table)
        self.highest_head = 0
        self.successes = 0
        self.outcomes_unknown = 0

    @rule(
        action=st.sampled_from(ACTIONS),
        concurrent_action=st.sampled_from((None, *ACTIONS)),
        fault=st.sampled_from(FAULTS),
        operator=st.sampled_from(OPERATORS),
        concurrent_operator=st.sampled_from(OPERATORS),
        version=st.integers(1, 4),
        share=st.integers(1, 3),
    )
    def act(
        self,
        action,
        concurrent_action,
        fault,
        operator,
        concurrent_operator,
        version,
        share,
    ):
        async def act_concurrently():
            self.table.fault = "none"
            await self.attempt(concurrent_action, concurrent_operator, version, share)
            self.table.fault = fault

        async def act_with_fault():
            self.table.fault = fault
            self.table.before_commit = act_concurrently if concurrent_action else None
            await self.attempt(action, operator, version, share)

        asyncio.run(act_with_fault())
        self.table.before_commit = None
        self.table.fault = "none"
        self.table.down = False

    async def attempt(self, action, operator, version, share):
        try:
            await perform(self.repository, action, operator, version, share)
            self.successes += 1
        except UnavailableError as exc:
            self.outcomes_unknown += exc.verdict is Verdict.MAY_HAVE_RUN
        except (ConflictError, InvalidInputError, NotFoundError) as exc:
            assert str(exc)

    @rule(author=st.sampled_from(OPERATORS), share=st.integers(1, 3))
    def roll_out_new_bundle(self, author, share):
        reviewer = BRUNO if author is ANNA else ANNA

        async def body():
            draft = await self.repository.draft(author, bundle(share))
            version = draft.version
            for action, operator in (
                ("propose", author),
                ("approve", reviewer),
                ("roll_out", author),
            ):
                await perform(self.repository, action, operator, version, share)

        asyncio.run(body())
        self.successes += 4

    @rule()
    def restart_process(self):
        """Lose the state in memory, as a process that is replaced does."""
        self.repository = BundleRepository(self.audited)
        self.view = make_view(self.table)

    @invariant()
    def the_head_never_decreases_and_the_view_follows_it(self):
        head = asyncio.run(self.repository.head())
        assert head.version >= self.highest_head
        self.highest_head = head.version
        before = self.view.bundle_version
        asyncio.run(self.view.refresh())
        assert before <= self.view.bundle_version == head.version

    @invariant()
    def a_rolled_out_digest_was_approved_by_another_operator(self):
        for content in asyncio.run(self.repository.history()):
            assert content.digest == content.bundle.digest()
            if content.state is BundleState.ROLLED_OUT:
                assert content.approved_by not in ("", content.author)
                last = content.reviews[-1]
                assert last.approved and last.digest == content.digest

    @invariant()
    def each_successful_change_has_one_audit_row(self):
        entries = asyncio.run(self.audited.entries("bundle"))
        assert self.successes <= len(entries) <= self.successes + self.outcomes_unknown

    @invariant()
    def each_rolled_out_version_is_based_on_the_previous_one(self):
        versions = [
            content
            for content in asyncio.run(self.repository.history())
            if content.state is BundleState.ROLLED_OUT
        ]
        bases = [content.base for content in versions]
        assert bases == [0, *(content.version for content in versions)][: len(bases)]


TestBundleLifecycle = BundleLifecycle.TestCase
TestBundleLifecycle.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=25, deadline=None
)


async def create_approved(repository, author, reviewer, share):
    draft = await repository.draft(author, bundle(share))
    await repository.propose(author, draft.version, draft.digest)
    return await repository.review(reviewer, draft.version, draft.digest, approve=True)


async def test_a_conflicting_roll_out_names_the_operator_who_was_first():
    table = FaultyTable()
    repository = BundleRepository(AuditedTable(table, ManualClock()))
    first = await create_approved(repository, ANNA, BRUNO, 1)
    second = await create_approved(repository, BRUNO, ANNA, 2)

    async def act_concurrently():
        await repository.roll_out(BRUNO, second.version, second.digest)

    table.before_commit = act_concurrently
    with pytest.raises(ConflictError, match="bruno has rolled out version 2"):
        await repository.roll_out(ANNA, first.version, first.digest)
    assert (await repository.head()).version == second.version


async def test_a_review_of_another_digest_is_refused():
    repository = BundleRepository(AuditedTable(MemoryTable(), ManualClock()))
    draft = await repository.draft(ANNA, bundle(1))
    await repository.propose(ANNA, draft.version, draft.digest)
    with pytest.raises(ConflictError, match="has digest"):
        other_digest = bundle(2).digest()
        await repository.review(BRUNO, draft.version, other_digest, approve=True)


async def test_roles_are_required():
    repository = BundleRepository(AuditedTable(MemoryTable(), ManualClock()))
    guest = Operator("guest", frozenset())
    for action in ACTIONS:
        with pytest.raises(RefusedError, match="lacks the role"):
            await _perform_without_version(repository, action, guest)


async def _perform_without_version(repository, action, operator):
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


async def test_an_outcome_that_cannot_be_read_back_is_reported_as_unknown():
    table = FaultyTable()
    repository = BundleRepository(AuditedTable(table, ManualClock()))
    table.fault = "lost_and_down"
    with pytest.raises(UnavailableError) as caught:
        await repository.draft(ANNA, bundle(1))
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    table.down = False
    assert len(await repository.history()) == 1


async def test_a_change_while_the_table_is_down_is_reported_as_not_run():
    table = MemoryTable()
    table.down = True
    repository = BundleRepository(AuditedTable(table, ManualClock()))
    with pytest.raises(UnavailableError) as caught:
        await repository.draft(ANNA, bundle(1))
    assert caught.value.verdict is Verdict.NOT_RUN


async def test_only_an_operator_with_all_roles_adds_and_removes_operators():
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


async def test_a_version_with_an_outdated_base_is_not_rolled_out():
    repository = BundleRepository(AuditedTable(MemoryTable(), ManualClock()))
    first = await create_approved(repository, ANNA, BRUNO, 1)
    second = await create_approved(repository, ANNA, BRUNO, 2)
    third = await create_approved(repository, BRUNO, ANNA, 3)
    await repository.roll_out(BRUNO, second.version, second.digest)
    for stale in (first, third):
        with pytest.raises(ConflictError, match="bruno has rolled out version 2"):
            await repository.roll_out(ANNA, stale.version, stale.digest)
    reverted = await repository.revert_to(ANNA, second.version)
    assert reverted.version == third.version + 1
    assert (await repository.head()).version == reverted.version
