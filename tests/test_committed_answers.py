"""Tests that callers are told what is stored, whatever goes wrong afterwards."""

from __future__ import annotations

import asyncio
import random

import pytest

from cassiaweir.dispatch import job_key
from cassiaweir.dispatch._dispatcher import Dispatcher
from cassiaweir.exceptions import RefusedError, UnavailableError
from cassiaweir.front import JobWriter
from cassiaweir.front._cancels import CancelResult
from cassiaweir.jobs import JobState
from cassiaweir.types import Row
from cassiaweir.verdict import Verdict
from tests.site_fakes import FakeSite
from tests.test_front import BODY, JOB_ID, Rig, spec_of
from tests.test_load_admission import LoadedRig
from tests.test_unexpected_errors import TASK, UnforeseenError, raise_if
from tests.virtual_time import run_virtual


def break_notifier(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let each attempt to pass rows on to the leader raise."""

    def notify_leader(rows: list[Row]) -> None:
        raise UnforeseenError(str(len(rows)))

    monkeypatch.setattr(rig.states, "notify_leader", notify_leader)


# Guards against REFUSED: jobs that were stored and run were answered with 503, as one
# of them made the leader in the same process raise after the transaction.
def test_stored_jobs_are_accepted_though_the_leader_cannot_be_notified(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body() -> None:
        rig = Rig()
        break_notifier(rig, monkeypatch)
        specs = [spec_of(f"{number:016x}") for number in range(40)]
        await asyncio.gather(*(rig.submissions.submit(spec) for spec in specs))
        assert sum(key.startswith("jobs/") for key in rig.store.rows) == 40

    run_virtual(body)


# Guards against a cancel that is stored and answered as if it had failed.
def test_a_stored_cancel_is_acknowledged_though_the_leader_cannot_be_notified(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body() -> None:
        rig = Rig()
        await rig.submissions.submit(spec_of(JOB_ID))
        break_notifier(rig, monkeypatch)
        assert await rig.submissions.cancel(JOB_ID) is CancelResult.CANCELLED
        other = await rig.submissions.cancel("00000000000000bb")
        assert other is CancelResult.UNKNOWN_JOB

    run_virtual(body)


# Guards against REFUSED by an error at any place between the transaction and the
# answers: what may be stored is never said not to be, and the others get theirs.
@pytest.mark.parametrize("method", ["_answer_stored", "_settle", "_try_store"])
@pytest.mark.parametrize("seed", range(4))
def test_no_job_that_is_stored_is_reported_as_not_run(
    method: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def body() -> None:
        rng = random.Random(seed)
        rig = Rig()
        calls = iter(rng.random() < 0.3 for _ in range(10_000))
        raised = raise_if(JobWriter, method, monkeypatch, lambda *_: next(calls))
        results = await asyncio.gather(
            *(rig.submissions.submit(spec_of(f"{n:016x}")) for n in range(200)),
            return_exceptions=True,
        )
        assert raised
        for number, result in enumerate(results):
            stored = job_key(f"{number:016x}") in rig.store.rows
            assert not isinstance(result, RefusedError) or not stored, result
            assert result is not None or stored
        if method != "_try_store":
            assert sum(result is not None for result in results) == len(raised)

    run_virtual(body)


# Guards against REFUSED at the end of a process: a transaction that was broken off may
# have been executed.
def test_a_job_is_in_doubt_if_its_transaction_is_broken_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body() -> None:
        rig = Rig()
        rig.node.fault_mode = "late"
        submitting = asyncio.create_task(rig.submissions.submit(spec_of(JOB_ID)))
        await asyncio.sleep(0.01)
        for task in list(rig.submissions._transactions):
            task.cancel()
        with pytest.raises(UnavailableError) as caught:
            await submitting
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN

    run_virtual(body)


# Guards against rows that are lost with one that cannot be applied: those of other jobs
# in the same notification reached the leader only with its change feed.
def test_a_row_that_cannot_be_applied_keeps_no_others_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body() -> None:
        site = FakeSite()
        leader = await site.wait_for_leader()
        jobs = [site.submit(TASK, announce_to=site.vms[2]) for _ in range(3)]
        rows = [site.store.rows[job_key(job_id)] for job_id in jobs]
        raise_if(
            Dispatcher, "apply_job_row", monkeypatch, lambda row: row.key == rows[0].key
        )
        leader.term.apply_rows(rows)
        states = [leader.term.job_state(job_id) for job_id in jobs]
        assert states == [None, JobState.QUEUED, JobState.QUEUED]
        await site.close()

    run_virtual(body)


# Guards against answers of 500, which say nothing: an unexpected error ends as one that
# the caller may resolve by asking again.
async def test_an_unexpected_error_is_answered_as_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with LoadedRig() as rig:
        raise_if(JobWriter, "_check_size", monkeypatch, lambda *_: True)
        status, headers, _ = await rig.call("POST", f"/r/{JOB_ID}", BODY)
        assert status == 504
        assert headers["Retry-After"] == "1"


async def test_a_job_is_accepted_if_its_load_cannot_be_checked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with LoadedRig() as rig:

        def check(spec: object) -> None:
            raise UnforeseenError("check")

        monkeypatch.setattr(rig.admission, "check", check)
        assert (await rig.call("POST", f"/r/{JOB_ID}", BODY))[0] == 200
