"""Tests that a cancelling that was acknowledged stays true, in each order of events."""

from __future__ import annotations

import asyncio
import random

import pytest

from cassiaweir.dispatch import (
    Refusal,
    cancel_key,
    decode_refusal,
    encode_refusal,
    job_key,
)
from cassiaweir.dispatch._compaction import SHRINK_INTERVAL
from cassiaweir.dispatch._refusal_rows import REFUSAL_VALIDITY_S
from cassiaweir.exceptions import RefusedError, UnavailableError
from cassiaweir.front._cancel_retries import (
    MAX_RETRIED,
    RETRY_PAUSE,
    RETRY_TIMEOUT,
)
from cassiaweir.front._cancels import MAX_CLOSED_AT_ONCE, CancelResult
from cassiaweir.jobs import JobState, StepSpec
from cassiaweir.types import Row
from cassiaweir.verdict import Verdict
from standins.users import MemoryStore
from tests.site_clients import SiteClient
from tests.site_fakes import FakeSite
from tests.test_front import JOB_ID
from tests.test_refusal_rows import FULL, KEY, Front, with_fronts
from tests.virtual_time import run_virtual

CANCEL_S = 3.0
"""A cancelled job starts nothing later than this after the acknowledgement."""

LATEST_WRITE_S = 6.0


def is_stored(store: MemoryStore, job_id: str = JOB_ID) -> bool:
    """Return whether a job that may run is stored under an id."""
    row = store.rows.get(job_key(job_id))
    return row is not None and decode_refusal(row.value) is None


# Guards against UNASKED: a cancel that found no job left nothing, and an earlier
# submission without an answer was stored seconds later and ran (review/5).
@pytest.mark.parametrize("at", ["same front", "other front"])
def test_a_submission_that_is_stored_late_does_not_outlive_a_cancel(at: str) -> None:
    async def body(first: Front, second: Front) -> None:
        first.store.holding = True
        assert await first.submit() == "504"
        first.store.holding = False
        other = first if at == "same front" else second
        assert await other.writer.cancel(JOB_ID) is CancelResult.UNKNOWN_JOB
        assert first.store.deliver() == 0
        assert not is_stored(first.backing)
        assert await second.states.job_state(JOB_ID) is None

    with_fronts(body)


# Guards against the same without any disruption: the submission is under way.
@pytest.mark.parametrize("seed", range(30))
def test_a_cancel_beside_its_submission_wins_or_finds_the_job(seed: int) -> None:
    async def body(first: Front, second: Front) -> None:
        rng = random.Random(seed)
        commit = first.store.commit

        async def slow_commit(checks, writes):
            await asyncio.sleep(rng.uniform(0, 0.02))
            return await commit(checks, writes)

        first.store.commit = slow_commit  # type: ignore[method-assign]
        submitting = asyncio.create_task(first.submit())
        await asyncio.sleep(rng.uniform(0, 0.02))
        result = await rng.choice([first, second]).writer.cancel(JOB_ID)
        answer = await submitting
        if result is CancelResult.UNKNOWN_JOB:
            assert answer == "503"
            assert not is_stored(first.backing)
        else:
            assert answer == "stored"
            assert f"{KEY}.cancel" in first.backing.rows

    with_fronts(body)


# Guards against a refused job that is cancelled, and replaced by an older attempt.
def test_a_cancel_of_a_refused_job_is_final_too() -> None:
    async def body(first: Front, second: Front) -> None:
        assert await first.submit(FULL) == "beyond_share"
        second.store.holding_replacements = True
        assert await second.submit() == "504"
        assert await first.writer.cancel(JOB_ID) is CancelResult.UNKNOWN_JOB
        assert second.store.held
        assert second.store.deliver() == 0
        assert not is_stored(first.backing)

    with_fronts(body)


# Guards against a job that runs as its submission comes again after the cancel.
@pytest.mark.parametrize("rejected", [None, FULL])
def test_a_closed_id_takes_no_submission_any_more(rejected: object) -> None:
    async def body(first: Front, second: Front) -> None:
        assert await first.writer.cancel(JOB_ID) is CancelResult.UNKNOWN_JOB
        for front in (first, second, first):
            assert await front.submit(rejected) == "503"
            assert not is_stored(first.backing)
        assert await second.writer.cancel(JOB_ID) is CancelResult.UNKNOWN_JOB
        assert await first.submit() == "503"

    with_fronts(body)


@pytest.mark.parametrize("fault", ["busy", "silent"])
def test_without_the_store_no_cancel_is_acknowledged(fault: str) -> None:
    """Guards against an acknowledgement that nothing holds to."""

    async def body(first: Front, second: Front) -> None:
        first.store.fault_mode = fault
        with pytest.raises(UnavailableError):
            await first.writer.cancel(JOB_ID)
        assert KEY not in first.backing.rows

    with_fronts(body)


# Guards against "not run" from a front that has an earlier attempt in doubt itself.
def test_a_refusal_for_the_store_is_none_while_an_attempt_is_in_doubt() -> None:
    async def body(first: Front, second: Front) -> None:
        first.store.holding = True
        assert await first.submit() == "504"
        first.store.fault_mode = "busy"
        first.store.holding = False
        assert await first.submit() == "504"
        first.store.fault_mode = ""
        assert first.store.deliver() >= 1
        assert is_stored(first.backing)

    with_fronts(body)


# Guards against "not run" where the job of another attempt stands in the way.
def test_a_conflict_that_cannot_be_looked_at_is_no_refusal() -> None:
    async def body(first: Front, second: Front) -> None:
        assert await second.submit() == "stored"
        read = first.store.read

        async def failing_read(keys: list[str]) -> dict[str, Row]:
            await read([])
            raise UnavailableError("no answer", verdict=Verdict.NOT_RUN)

        first.store.read = failing_read  # type: ignore[method-assign]
        assert await first.submit() == "504"

    with_fronts(body)


# Guards against rows without a bound: anybody with a key may cancel ids at will.
def test_ids_of_unknown_jobs_are_closed_at_a_bounded_rate() -> None:
    async def body(first: Front, second: Front) -> None:
        refused = 0
        for number in range(int(MAX_CLOSED_AT_ONCE * 1.5)):
            try:
                await first.writer.cancel(f"{number:016x}")
            except RefusedError as exc:
                refused += 1
                assert exc.retry_after is not None
        assert 0 < refused < MAX_CLOSED_AT_ONCE
        rows = len(first.backing.rows)
        assert rows == MAX_CLOSED_AT_ONCE * 1.5 - refused
        # Closed ids, and those of jobs, are cancelled without a new row.
        assert await first.writer.cancel(f"{0:016x}") is CancelResult.UNKNOWN_JOB
        assert len(first.backing.rows) == rows

    with_fronts(body)


# Guards against rows that stay for good, and a leader that removes a newer one.
def test_rows_of_refused_and_closed_ids_are_removed_after_a_time() -> None:
    async def body() -> None:
        site = FakeSite(servers=2, vms=2)
        await site.wait_for_leader()
        client = SiteClient(site, site.vms[1])
        for number in range(130):
            await client.writer.cancel(f"{number:016x}", "agency")
        assert len(refusals(site.store)) == 130
        await asyncio.sleep(REFUSAL_VALIDITY_S / 2)
        assert len(refusals(site.store)) == 130
        kept = f"{1:016x}"
        await client.writer.cancel(f"{200:016x}", "agency")
        await asyncio.sleep(
            REFUSAL_VALIDITY_S / 2 + 3 * SHRINK_INTERVAL.total_seconds()
        )
        assert refusals(site.store) == {job_key(f"{200:016x}")}
        job = client.spec(StepSpec(count=1, cpu_millis=100), job_id=kept)
        await client.writer.submit(job)
        await asyncio.sleep(3)
        leader = await site.wait_for_leader()
        assert leader.term.job_state(kept) is JobState.DONE
        await site.close()

    run_virtual(body)


def refusals(store: MemoryStore) -> set[str]:
    return {
        key for key, row in store.rows.items() if decode_refusal(row.value) is not None
    }


def test_a_cancelled_refusal_is_stored_and_read_back() -> None:
    refusal = Refusal("c", 1.0, 1.0, cancelled=True)
    assert decode_refusal(encode_refusal(refusal)) == refusal
    assert refusal.validity_s == REFUSAL_VALIDITY_S


# Guards against orders of events that nobody thought of: clients that give up and
# cancel at any time, under faults of the store, with leaders that are replaced.
@pytest.mark.parametrize("seed", range(10))
def test_random_cancels_that_were_acknowledged_stay_true(seed: int) -> None:
    async def body() -> None:
        site = FakeSite(servers=4, vms=3, seed=seed)
        await site.wait_for_leader()
        clients = await run_clients(site)
        calm_at = asyncio.get_running_loop().time() + LATEST_WRITE_S + CANCEL_S
        await asyncio.sleep(30)
        leader = await site.wait_for_leader()
        states = {each.job_id: leader.term.job_state(each.job_id) for each in clients}
        await site.close()
        assert not site.faults
        assert sum(each.cancelled_at is not None for each in clients) > 20
        for each in clients:
            state = states[each.job_id]
            if each.cancelled_at is not None:
                until = max(calm_at, each.cancelled_at + CANCEL_S)
                starts = site.starts_of(each.job_id)
                assert all(run.began_at <= until for run in starts)
                # A job that is said not to exist never starts.
                assert each.result is not CancelResult.UNKNOWN_JOB or not starts
                assert state in (None, JobState.CANCELLED, JobState.DONE)
                assert state is not None or not is_stored(site.store, each.job_id)
            elif each.accepted:
                assert state is JobState.DONE

    run_virtual(body)


async def run_clients(site: FakeSite) -> list[SiteClient]:
    """Run clients under faults of the store and takeovers; return once all is calm."""
    rng = site.rng
    clients = []
    tasks = set()
    step = StepSpec(count=2, cpu_millis=1_000, estimate_s=2.0)
    while asyncio.get_running_loop().time() < 20:
        client = SiteClient(site, rng.choice(site.vms))
        clients.append(client)
        tasks.add(asyncio.create_task(client.run(step, task_s=2.0)))
        if rng.random() < 0.03:
            fault = rng.choice(("late", "lossy", "silent", "busy", ""))
            for vm in site.vms:
                vm.store.fault_mode = fault
        leader = site.leader()
        if leader is not None and rng.random() < 0.01:
            await leader.kill()
            leader.start()
        await asyncio.sleep(rng.uniform(0.02, 0.1))
    for vm in site.vms:
        vm.store.fault_mode = ""
    await asyncio.gather(*tasks)
    return clients


# Guards against "not run" (503) for a cancel whose first attempt is stored later.
def test_a_cancel_in_doubt_is_not_said_to_be_undone() -> None:
    async def body(first: Front, second: Front) -> None:
        assert await second.submit() == "stored"
        first.store.holding_replacements = True
        first.store.holding = True
        cancelling = asyncio.create_task(first.writer.cancel(JOB_ID))
        await asyncio.sleep(0.05)
        assert first.store.held
        first.store.fault_mode = "busy"
        with pytest.raises(UnavailableError) as caught:
            await cancelling
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN

    with_fronts(body)


# Guards against the same where the second attempt is one too many to close an id.
def test_a_close_in_doubt_is_not_said_to_be_undone() -> None:
    async def body(first: Front, second: Front) -> None:
        first.store.holding = True
        cancelling = asyncio.create_task(first.writer.cancel(JOB_ID))
        await asyncio.sleep(0.455)
        assert len(first.store.held) == 1
        others = [
            asyncio.create_task(first.writer.cancel(f"{number:016x}"))
            for number in range(1, 300)
        ]
        with pytest.raises(UnavailableError) as caught:
            await cancelling
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        refused = await asyncio.gather(*others, return_exceptions=True)
        assert any(isinstance(each, RefusedError) for each in refused)

    with_fronts(body)


# Guards against UNASKED: a cancel that the store did not answer in time is forgotten,
# and its job runs on although its caller has heard of no refusal.
@pytest.mark.parametrize("fault", ["silent", "busy"])
@pytest.mark.parametrize("stored", [True, False])
def test_a_cancel_without_an_answer_is_repeated(fault: str, stored: bool) -> None:
    async def body(first: Front, second: Front) -> None:
        if stored:
            assert await second.submit() == "stored"
        first.store.fault_mode = fault
        with pytest.raises(UnavailableError) as caught:
            await first.writer.cancel(JOB_ID)
        # The caller must not be told that this has not been done.
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        await asyncio.sleep(4)
        first.store.fault_mode = ""
        await asyncio.sleep(2)
        if stored:
            assert f"{KEY}.cancel" in first.backing.rows
        else:
            assert await second.submit() == "503"
        commits = first.backing.commits
        await asyncio.sleep(2 * RETRY_TIMEOUT.total_seconds())
        assert first.backing.commits == commits

    with_fronts(body)


# Guards against calls without a bound on behalf of callers that have gone.
def test_cancels_are_repeated_in_a_bounded_number_and_time() -> None:
    async def body(first: Front, second: Front) -> None:
        first.store.fault_mode = "busy"
        ids = [f"{number:016x}" for number in range(MAX_RETRIED + 10)]
        results = await asyncio.gather(
            *(first.writer.cancel(each) for each in ids), return_exceptions=True
        )
        verdicts = [each.verdict for each in results]  # type: ignore[union-attr]
        assert verdicts.count(Verdict.MAY_HAVE_RUN) == MAX_RETRIED
        assert verdicts.count(Verdict.NOT_RUN) == 10
        calls = 0
        read = first.store.read

        async def counting_read(keys: list[str]) -> dict[str, Row]:
            nonlocal calls
            calls += 1
            return await read(keys)

        first.store.read = counting_read  # type: ignore[method-assign]
        await asyncio.sleep(RETRY_TIMEOUT.total_seconds() + 1)
        assert 0 < calls < RETRY_TIMEOUT / RETRY_PAUSE + 2
        first.store.fault_mode = ""
        await asyncio.sleep(10)
        assert first.backing.commits == 0

    with_fronts(body)


# Guards against "not run" for a cancel that the front itself still repeats.
def test_a_cancel_that_is_being_repeated_is_not_said_to_be_undone() -> None:
    async def body(first: Front, second: Front) -> None:
        first.store.fault_mode = "busy"
        ids = [f"{number:016x}" for number in range(MAX_RETRIED)]
        cancels = [first.writer.cancel(each) for each in (*ids, ids[0])]
        results = await asyncio.gather(*cancels, return_exceptions=True)
        with pytest.raises(UnavailableError) as caught:
            await first.writer.cancel(ids[1])
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        assert all(
            each.verdict is Verdict.MAY_HAVE_RUN  # type: ignore[union-attr]
            for each in results[:MAX_RETRIED]
        )

    with_fronts(body)


# Guards against UNASKED: a repeated cancel whose attempt ends with an unexpected error
# is dropped, although its caller takes the job for cancelled.
def test_a_cancel_is_repeated_after_an_unexpected_error() -> None:
    async def body(first: Front, second: Front) -> None:
        assert await first.submit() == "stored"
        read = first.store.read
        first.store.fault_mode = "busy"
        with pytest.raises(UnavailableError):
            await first.writer.cancel(JOB_ID)
        first.store.fault_mode = ""
        failures = 2

        async def failing_read(keys: list[str]) -> dict[str, Row]:
            nonlocal failures
            if failures:
                failures -= 1
                raise RuntimeError("an unexpected error")
            return await read(keys)

        first.store.read = failing_read  # type: ignore[method-assign]
        await asyncio.sleep(5 * RETRY_PAUSE.total_seconds())
        assert not failures
        assert cancel_key(JOB_ID) in first.backing.rows

    with_fronts(body)
