"""Tests of how `HttpTable` resolves commits whose request or answer was lost."""

from datetime import timedelta

import pytest

from cassiaweir.clock import ManualClock
from cassiaweir.exceptions import ConflictError, UnavailableError
from cassiaweir.platform import HttpTable
from cassiaweir.platform.wire import CommitAnswer, ReadRequest, RowsAnswer
from cassiaweir.types import Check, Write
from cassiaweir.verdict import Verdict
from standins.memory import MemoryTable


class DirectSession:
    """Replaces a session and calls a `MemoryTable` without HTTP.

    `after_exchanges` are functions; the first of them is removed and called after each
    exchange.  `paths` records the paths that were called.
    """

    timeout = timedelta(seconds=1)

    def __init__(self, memory: MemoryTable) -> None:
        self._memory = memory
        self.after_exchanges = []
        self.paths = []

    async def call(self, address, path, body, answer, *, timeout=None):
        self.paths.append(path)
        try:
            if isinstance(body, ReadRequest):
                rows = await self._memory.read(body.keys)
                return RowsAnswer(list(rows.values()))
            return CommitAnswer(await self._memory.commit(body.checks, body.writes))
        finally:
            if self.after_exchanges:
                self.after_exchanges.pop(0)()


@pytest.fixture
def memory():
    return MemoryTable()


@pytest.fixture
def session(memory):
    return DirectSession(memory)


@pytest.fixture
def table(session):
    return HttpTable(session, "none", ManualClock())


def overwrite_as_another_process(memory, key="a"):
    """Write a row as a commit of another process would."""
    value = b'{"token":"other","value":"b3RoZXI="}'
    memory.apply([], [Write(key, value)])


async def expect_unknown_outcome(table, checks, writes):
    with pytest.raises(UnavailableError) as caught:
        await table.commit(checks, writes)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


async def test_a_lost_answer_is_found_by_its_token(memory, table):
    memory.lose_answers = 1
    versions = await table.commit([Check("a", 0)], [Write("a", b"1")])
    assert (await table.read(["a"]))["a"].version == versions["a"]
    assert memory.commits == 1


async def test_a_lost_request_is_repeated(memory, table):
    memory.lose_requests = 1
    await table.commit([Check("a", 0)], [Write("a", b"1")])
    assert memory.commits == 1


async def test_a_late_copy_of_a_repeated_commit_does_nothing(memory, table):
    memory.hold_commits = 1
    versions = await table.commit([Check("a", 0)], [Write("a", b"1")])
    assert memory.apply_held() == 0
    assert (await table.read(["a"]))["a"].version == versions["a"]


async def test_a_late_copy_that_comes_first_answers_the_repeat(memory, session, table):
    memory.hold_commits = 1
    session.after_exchanges = [lambda: None, memory.apply_held]
    await table.commit([Check("a", 0)], [Write("a", b"1")])
    assert session.paths == ["/v1/commit", "/v1/read", "/v1/commit", "/v1/read"]
    assert memory.commits == 1


async def test_an_overwritten_commit_is_in_doubt(memory, session, table):
    memory.lose_answers = 1
    session.after_exchanges = [lambda: overwrite_as_another_process(memory)]
    await expect_unknown_outcome(table, [Check("a", 0)], [Write("a", b"1")])
    assert session.paths == ["/v1/commit", "/v1/read"]


async def test_a_partly_overwritten_commit_is_in_doubt(memory, session, table):
    memory.lose_answers = 1
    session.after_exchanges = [lambda: overwrite_as_another_process(memory)]
    writes = [Write("a", b"1"), Write("b", b"1")]
    await expect_unknown_outcome(table, [Check("a", 0)], writes)


async def test_no_repeat_is_sent_after_a_conflict_in_doubt(memory, session, table):
    """A row that another process created and deleted is absent again.

    The check that it is absent holds then, so one more request could apply the commit,
    although the conflict may have been caused by the commit itself.
    """
    memory.lose_requests = 1
    session.after_exchanges = [
        lambda: None,
        lambda: overwrite_as_another_process(memory),
        lambda: memory.apply([], [Write("a", None)]),
    ]
    await expect_unknown_outcome(table, [Check("a", 0)], [Write("a", b"1")])
    assert session.paths.count("/v1/commit") == 2
    assert await table.read(["a"]) == {}


async def test_an_outage_after_a_lost_answer_leaves_doubt(memory, session, table):
    memory.lose_answers = 1
    session.after_exchanges = [lambda: setattr(memory, "down", True)]
    await expect_unknown_outcome(table, [Check("a", 0)], [Write("a", b"1")])


async def test_an_unconditional_write_is_never_repeated(memory, session, table):
    memory.lose_requests = 1
    await expect_unknown_outcome(table, [], [Write("a", b"1")])
    assert session.paths.count("/v1/commit") == 1


async def test_a_deletion_without_an_answer_stays_in_doubt(memory, table):
    version = (await table.commit([], [Write("a", b"1")]))["a"]
    memory.lose_answers = 1
    await expect_unknown_outcome(table, [Check("a", version)], [Write("a", None)])


async def test_a_deletion_that_was_lost_is_repeated(memory, table):
    version = (await table.commit([], [Write("a", b"1")]))["a"]
    memory.lose_requests = 1
    await table.commit([Check("a", version)], [Write("a", None)])
    assert await table.read(["a"]) == {}


async def test_one_of_two_commits_that_create_a_row_conflicts(memory, table):
    other = HttpTable(DirectSession(memory), "none", ManualClock())
    memory.lose_answers = 1
    await table.commit([Check("shard/s", 0)], [Write("shard/s", b"one")])
    with pytest.raises(ConflictError):
        await other.commit([Check("shard/s", 0)], [Write("shard/s", b"two")])


async def test_a_commit_to_a_table_that_is_down_has_not_run(memory, table):
    memory.down = True
    with pytest.raises(UnavailableError) as caught:
        await table.commit([Check("a", 0)], [Write("a", b"1")])
    assert caught.value.verdict is Verdict.NOT_RUN


async def test_a_malformed_row_is_an_error_of_the_read(memory, table):
    memory.apply([], [Write("a", b"no envelope")])
    with pytest.raises(UnavailableError, match="row a is malformed"):
        await table.read(["a"])
