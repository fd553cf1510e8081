"""Tests that a job refused by load never runs, in each order of events."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from cassiaweir.dispatch import (
    Refusal,
    decode_refusal,
    encode_refusal,
    job_key,
)
from cassiaweir.dispatch._job_rows import SHRUNK_VALUE
from cassiaweir.exceptions import (
    ConflictError,
    InvalidInputError,
    RefusedError,
    UnavailableError,
)
from cassiaweir.front import JobDirectory, JobWriter
from cassiaweir.front._cancels import CancelResult
from cassiaweir.front._pending_jobs import Attempt, OverloadError
from cassiaweir.jobs import JobSpec
from cassiaweir.scheduling import Rejected
from cassiaweir.types import Write
from cassiaweir.verdict import Verdict
from tests.site_fakes import MemoryStore, VmStore
from tests.test_front import JOB_ID, FakeLeader, spec_of
from tests.virtual_time import VirtualClock, run_virtual

KEY = job_key(JOB_ID)
FULL = Rejected("beyond_share", 4, 3.0, 3.6)


class DelayedStore(VmStore):
    """A connection to the store that can hold back commits without an answer.

    With `holding`, each commit times out and is kept for `deliver`, or only those that
    replace a row, with `holding_replacements`.  With `losing`, the next commit is
    applied and its answer is lost.
    """

    holding = holding_replacements = losing = False

    def __init__(self, store: MemoryStore, rng: random.Random) -> None:
        super().__init__(store, rng)
        self.held: list[tuple] = []

    async def commit(self, checks, writes):
        if self.losing:
            self.losing = False
            await super().commit(checks, writes)
        elif not self.holding and not (self.holding_replacements and checks[0].version):
            return await super().commit(checks, writes)
        else:
            self.held.append((checks, writes))
        await asyncio.sleep(0.4)
        raise UnavailableError("no answer", verdict=Verdict.MAY_HAVE_RUN)

    def deliver(self) -> int:
        """Apply what was held back; return how many commits took effect."""
        applied = 0
        for checks, writes in self.held:
            try:
                self._store.apply(checks, writes)
                applied += 1
            except ConflictError:
                continue
        return applied


class Front:
    """The parts of a front that store and look up jobs."""

    def __init__(self, store: MemoryStore, seed: int = 1) -> None:
        self.backing = store
        self.store = DelayedStore(store, random.Random(seed))
        leader = FakeLeader()
        leader.reachable = False
        self.states = JobDirectory(leader, leader, leader, self.store)
        self.writer = JobWriter(
            self.store,
            VirtualClock(),
            self.states,
            store_unreachable=lambda: False,
        )

    async def submit(
        self, rejected=None, *, seen=None, connected=True, job_id=JOB_ID
    ) -> str:
        """Submit a job and return the answer; `seen` is the version seen before."""
        version = self.backing.version if seen is None else seen
        attempt = Attempt(version, lambda: connected, rejected)
        try:
            await self.writer.submit(spec_of(job_id), attempt)
        except OverloadError as exc:
            return exc.reason
        except RefusedError:
            return "503"
        except UnavailableError:
            return "504"
        return "stored"

    def is_blocked(self) -> bool:
        """Return whether a refusal row stands under the job's key."""
        return decode_refusal(self.backing.rows[KEY].value) is not None


def with_fronts(body):
    """Run `body` with two fronts of one store."""

    async def run() -> None:
        store = MemoryStore()
        await body(Front(store, 1), Front(store, 2))

    run_virtual(run)


def test_a_refusal_row_is_no_job_and_no_ended_job_for_any_build() -> None:
    """Guards against a leader, also an older one, that runs a refused job."""
    value = encode_refusal(Refusal("c", 1.0, 2.0))
    assert decode_refusal(value) == Refusal("c", 1.0, 2.0)
    assert value != SHRUNK_VALUE
    with pytest.raises(InvalidInputError):
        JobSpec.decode(value)
    for other in (SHRUNK_VALUE, spec_of(JOB_ID).encode(), b"", b"\xff"):
        assert decode_refusal(other) is None
    for malformed in (b'{"refused":', b'{"refused":{"at":"x"}}', b'{"refused":\xff'):
        assert decode_refusal(malformed) == Refusal()


def test_a_first_write_that_comes_after_the_refusal_is_not_stored() -> None:
    """Guards against a job that runs although its caller was told that it never will.

    The first front gave no answer, the second refuses, then the first write arrives.
    """

    async def body(first: Front, second: Front) -> None:
        first.store.holding = True
        assert await first.submit() == "504"
        assert await second.submit(FULL) == "beyond_share"
        assert first.store.held
        assert first.store.deliver() == 0
        assert second.is_blocked()
        assert await second.states.job_state(JOB_ID) is None
        assert await second.writer.cancel(JOB_ID) is CancelResult.UNKNOWN_JOB

    with_fronts(body)


@pytest.mark.parametrize("at", ["same front", "other front"])
def test_a_late_replacement_of_a_refusal_fails_after_the_next_refusal(at: str) -> None:
    """Guards against a refusal that leaves an earlier refusal's row as it is.

    A write that replaces that version may still be in transit.
    """

    async def body(first: Front, second: Front) -> None:
        assert await first.submit(FULL) == "beyond_share"
        second.store.holding_replacements = True
        assert await second.submit() == "504"
        refusing = first if at == "same front" else Front(first.backing, 3)
        assert await refusing.submit(FULL) == "beyond_share"
        assert second.store.held
        assert second.store.deliver() == 0
        assert first.is_blocked()

    with_fronts(body)


def test_two_attempts_with_one_id_are_not_stored_by_one_transaction() -> None:
    """Guards against a refusal row that overwrites a job answered with 200."""

    async def body(first: Front, second: Front) -> None:
        others = [first.submit(job_id=f"{part:016x}") for part in range(16)]
        answers = await asyncio.gather(*others, first.submit(), first.submit(FULL))
        assert set(answers) == {"stored"}
        assert not first.is_blocked()

    with_fronts(body)


def test_an_attempt_does_not_replace_a_refusal_that_may_be_newer() -> None:
    """Guards against a slow front that accepts what another one refused meanwhile."""

    async def body(first: Front, second: Front) -> None:
        seen = first.backing.version
        assert await second.submit(FULL) == "beyond_share"
        assert await first.submit(seen=seen) == "refused_meanwhile"
        assert first.is_blocked()
        assert await first.submit(connected=False) == "refused_meanwhile"
        assert first.is_blocked()
        assert await second.submit() == "stored"

    with_fronts(body)


def test_of_two_fronts_at_once_an_accepted_job_is_not_answered_as_refused() -> None:
    """Guards against answers that contradict what is stored, in either order."""

    async def body(first: Front, second: Front) -> None:
        for other in (first, second):
            for decisions in ((None, FULL), (FULL, None)):
                first.backing.rows.clear()
                answers = await asyncio.gather(
                    first.submit(decisions[0], seen=0), other.submit(decisions[1])
                )
                assert len({each == "stored" for each in answers}) == 1
                assert first.is_blocked() is (answers[0] != "stored")

    with_fronts(body)


def test_an_accepted_id_is_never_refused_also_after_the_job_ended() -> None:
    """Guards against a refusal of a job that runs or has run."""

    async def body(first: Front, second: Front) -> None:
        first.store.losing = True
        assert await first.submit() == "stored"
        assert await second.submit(FULL) == "stored"
        first.backing.apply([], [Write(KEY, SHRUNK_VALUE)])
        assert await second.submit(FULL) == "stored"
        assert first.backing.rows[KEY].value == SHRUNK_VALUE

    with_fronts(body)


def test_a_refusal_whose_answer_is_lost_is_still_a_refusal() -> None:
    """Guards against answering 200 for a job whose id this front has just blocked."""

    async def body(first: Front, second: Front) -> None:
        first.store.losing = True
        assert await first.submit(FULL) == "beyond_share"
        assert first.is_blocked()
        first.store.losing = True
        assert await first.submit() == "stored"
        assert not first.is_blocked()

    with_fronts(body)


@pytest.mark.parametrize("fault", ["busy", "silent"])
def test_without_the_store_nothing_is_refused_by_load(fault: str) -> None:
    """Guards against a refusal that is not certain, as the id could not be blocked."""

    async def body(first: Front, second: Front) -> None:
        first.store.fault_mode = fault
        assert await first.submit(FULL) == "503"
        assert KEY not in first.backing.rows

    with_fronts(body)


def test_a_caller_that_returns_in_its_turn_is_accepted_at_every_front() -> None:
    """Guards against refusing a caller again for load that came after it."""

    async def body(first: Front, second: Front) -> None:
        later = Rejected("beyond_share", 30, 60.0, 60.0)
        assert await first.submit(FULL) == "beyond_share"
        await asyncio.sleep(2)
        assert await second.submit(later) == "beyond_share"
        await asyncio.sleep(2)
        assert await second.submit(later) == "stored"
        assert await first.submit(FULL) == "stored"

    with_fronts(body)


def test_a_place_lapses_and_malformed_places_give_no_turn() -> None:
    """Guards against ids that are accepted for ever because they were refused once."""

    async def body(first: Front, second: Front) -> None:
        assert await first.submit(FULL) == "beyond_share"
        await asyncio.sleep(60)
        assert await second.submit(FULL) == "beyond_share"
        value = msgspec.json.encode({"refused": {"turn_at": "soon"}})
        first.backing.apply([], [Write(KEY, value)])
        assert await second.submit(FULL) == "beyond_share"
        assert await second.submit() == "stored"

    with_fronts(body)


@pytest.mark.parametrize("seed", range(12))
def test_random_attempts_with_lost_answers_never_run_a_refused_job(seed: int) -> None:
    """Guards against orders of events that nobody thought of.

    Callers give up attempts after a random time while fronts go on with them.  Once the
    last attempt is answered as refused, the job must never be stored.
    """

    async def call(fronts: list[Front], rng: random.Random, job_id: str) -> str:
        answer = ""
        while answer != "stored" and rng.random() < 0.85:
            front = rng.choice(fronts)
            attempt = asyncio.create_task(
                front.submit(rng.choice([None, FULL]), job_id=job_id)
            )
            done, _ = await asyncio.wait({attempt}, timeout=rng.uniform(0.0, 1.5))
            answer = attempt.result() if done else ""
            await asyncio.sleep(rng.choice([0.0, 0.1, 4.0]))
        return answer

    async def body() -> None:
        rng = random.Random(seed)
        store = MemoryStore()
        fronts = [Front(store, number) for number in range(3)]
        for front in fronts:
            front.store.fault_mode = rng.choice(["late", "lossy", ""])
        ids = [f"{number:016x}" for number in range(40)]
        answers = await asyncio.gather(*(call(fronts, rng, each) for each in ids))
        await asyncio.sleep(12)
        for job_id, answer in zip(ids, answers, strict=True):
            row = store.rows.get(job_key(job_id))
            is_job = row is not None and decode_refusal(row.value) is None
            if answer == "stored":
                assert is_job
            elif answer in ("beyond_share", "refused_meanwhile"):
                assert not is_job

    run_virtual(body)
