"""Tests of claims: crashes at each step, lost responses, outages and repeats."""

import asyncio

import pytest

from cassiaweir.exceptions import RefusedError, UnavailableError
from cassiaweir.requests._claims import MAX_INLINE_BODY_BYTES, Claim
from cassiaweir.requests._models import ServiceAnswer
from cassiaweir.verdict import Verdict
from standins.memory import MemoryTable
from tests.test_requests_helpers import (
    FakeSlots,
    MemoryObjects,
    make_claims,
    make_request,
    make_router,
)

ANSWER = ServiceAnswer(200, b"paid", {"Content-Type": "text/plain"})


class Backend:
    """Counts calls, waits for `may_finish` and raises the given errors in order."""

    def __init__(self, *errors: Exception) -> None:
        self.errors = list(errors)
        self.runs = 0
        self.reached = asyncio.Event()
        self.may_finish = asyncio.Event()
        self.may_finish.set()

    async def call(self, address, req) -> ServiceAnswer:
        self.runs += 1
        self.reached.set()
        await self.may_finish.wait()
        if self.errors:
            raise self.errors.pop(0)
        return ANSWER


def make_refusal(verdict=Verdict.NOT_RUN) -> RefusedError:
    return RefusedError("backend_refused", "no", verdict=verdict)


def make_connection_error(verdict=Verdict.MAY_HAVE_RUN) -> UnavailableError:
    return UnavailableError("broken", verdict=verdict)


async def route(table, backend, **changes) -> ServiceAnswer:
    """Route one request through a new gateway without memory of earlier ones."""
    router = make_router(FakeSlots("a", "b", "c"), backend, make_claims(table))
    return await router.route(make_request(**changes))


async def refusal_of(table, backend, **changes) -> RefusedError:
    with pytest.raises(RefusedError) as caught:
        await route(table, backend, **changes)
    return caught.value


async def cancel_when(task: asyncio.Task, reached: asyncio.Event) -> None:
    """Cancel `task` once `reached` is set, as a crash of its gateway would."""
    await reached.wait()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_a_crash_before_the_claim_leaves_the_key_free():
    table, backend = MemoryTable(), Backend()
    make_claims(table)
    assert (await route(table, backend, request_id="r2")).body == b"paid"
    assert backend.runs == 1


async def test_a_crash_between_claim_and_send_leaves_the_claim_in_doubt():
    table, backend = MemoryTable(), Backend()
    claimed = await make_claims(table).claim(make_request())
    assert isinstance(claimed, Claim)
    error = await refusal_of(table, backend, request_id="r2")
    assert (error.reason, error.verdict) == ("in_doubt", Verdict.MAY_HAVE_RUN)
    assert error.retry_after is not None
    assert backend.runs == 0


async def test_a_crash_after_sending_leaves_the_claim_in_doubt():
    table, backend = MemoryTable(), Backend()
    backend.may_finish.clear()
    router = make_router(FakeSlots("a"), backend, make_claims(table))
    run = asyncio.create_task(router._run(make_request()))
    await cancel_when(run, backend.reached)
    backend.may_finish.set()
    error = await refusal_of(table, backend, request_id="r2")
    assert error.verdict is Verdict.MAY_HAVE_RUN
    assert backend.runs == 1


async def test_a_crash_before_the_outcome_is_stored_leaves_the_claim_in_doubt():
    table, backend = MemoryTable(), Backend()
    claims = make_claims(table)
    reached = asyncio.Event()

    async def finish(claim, answer) -> bool:
        reached.set()
        return await asyncio.Event().wait()

    claims.finish = finish
    router = make_router(FakeSlots("a"), backend, claims)
    await cancel_when(asyncio.create_task(router._run(make_request())), reached)
    error = await refusal_of(table, backend, request_id="r2")
    assert error.verdict is Verdict.MAY_HAVE_RUN
    assert backend.runs == 1


async def test_a_repeat_at_another_gateway_gets_the_stored_outcome():
    table, backend = MemoryTable(), Backend()
    await route(table, backend)
    answer = await route(table, backend, request_id="r2")
    assert (answer.status, answer.body) == (200, b"paid")
    assert answer.headers == {"Content-Type": "text/plain"}
    assert answer.repeated
    assert backend.runs == 1


async def test_concurrent_requests_with_one_key_run_once():
    table, backend = MemoryTable(), Backend()
    requests = [route(table, backend, request_id=f"r{n}") for n in range(5)]
    results = await asyncio.gather(*requests, return_exceptions=True)
    assert backend.runs == 1
    assert any(isinstance(result, ServiceAnswer) for result in results)


async def test_an_unavailable_table_refuses_requests_before_they_run():
    table, backend = MemoryTable(), Backend()
    table.down = True
    error = await refusal_of(table, backend)
    assert (error.reason, error.verdict) == ("table_unavailable", Verdict.NOT_RUN)
    assert backend.runs == 0


async def test_a_claim_whose_commit_response_was_lost_is_read_back():
    table, backend = MemoryTable(), Backend()
    table.lose_answers = 1
    assert (await route(table, backend)).body == b"paid"
    assert backend.runs == 1


async def test_an_outcome_that_cannot_be_stored_still_reaches_the_caller():
    table, backend = MemoryTable(), Backend()
    backend.may_finish.clear()
    route_task = asyncio.create_task(route(table, backend))
    await backend.reached.wait()
    table.down = True
    backend.may_finish.set()
    assert (await route_task).body == b"paid"
    table.down = False
    error = await refusal_of(table, backend, request_id="r2")
    assert error.verdict is Verdict.MAY_HAVE_RUN
    assert backend.runs == 1


async def test_a_key_whose_request_did_not_run_may_be_claimed_again():
    table = MemoryTable()
    error = await refusal_of(table, Backend(*[make_refusal() for _ in range(3)]))
    assert error.verdict is Verdict.NOT_RUN
    backend = Backend()
    assert (await route(table, backend, request_id="r2")).body == b"paid"
    assert backend.runs == 1


async def test_only_one_of_two_requests_claims_a_released_key():
    table = MemoryTable()
    claims = make_claims(table)
    await claims.release(await claims.claim(make_request()))
    pair = [make_claims(table).claim(make_request(request_id=f"r{n}")) for n in (2, 3)]
    results = await asyncio.gather(*pair, return_exceptions=True)
    assert sum(isinstance(result, Claim) for result in results) == 1


async def test_a_request_that_did_not_run_is_retried_under_one_claim():
    table, backend = (
        MemoryTable(),
        Backend(make_refusal(), make_connection_error(Verdict.NOT_RUN)),
    )
    assert (await route(table, backend)).body == b"paid"
    assert backend.runs == 3
    assert table.commits == 2


async def test_a_request_that_may_have_run_is_never_sent_again():
    table, backend = MemoryTable(), Backend(make_connection_error())
    error = await refusal_of(table, backend)
    assert error.verdict is Verdict.MAY_HAVE_RUN
    error = await refusal_of(table, backend, request_id="r2")
    assert error.reason == "in_doubt"
    assert backend.runs == 1


async def test_an_idempotent_request_is_sent_again_and_never_claimed():
    table, backend = (
        MemoryTable(),
        Backend(make_connection_error(), make_connection_error()),
    )
    answer = await route(table, backend, idempotent=True, idempotency_key="")
    assert answer.body == b"paid"
    assert (backend.runs, table.commits) == (3, 0)


async def test_a_disconnected_caller_does_not_stop_a_claimed_request():
    table, backend = MemoryTable(), Backend()
    backend.may_finish.clear()
    router = make_router(FakeSlots("a"), backend, make_claims(table))
    route_task = asyncio.create_task(router.route(make_request()))
    await cancel_when(route_task, backend.reached)
    backend.may_finish.set()
    await router.stop()
    assert (await route(table, backend, request_id="r2")).repeated
    assert backend.runs == 1


async def test_a_large_outcome_goes_to_the_object_store():
    table, objects = MemoryTable(), MemoryObjects()
    claims = make_claims(table, objects)
    body = b"x" * (MAX_INLINE_BODY_BYTES + 1)
    claim = await claims.claim(make_request())
    assert await claims.finish(claim, ServiceAnswer(200, body))
    (row,) = await table.scan("claim/")
    assert len(row.value) < 1000
    assert (await claims.claim(make_request())).body == body
    objects.bodies.clear()
    with pytest.raises(RefusedError) as caught:
        await claims.claim(make_request())
    assert caught.value.verdict is Verdict.RAN


async def test_retries_end_when_the_retry_budget_is_empty():
    backend = Backend(*[make_refusal() for _ in range(99)])
    router = make_router(FakeSlots(*"abcdefgh"), backend, make_claims(MemoryTable()))
    for number in range(20):
        with pytest.raises(RefusedError):
            await router.route(make_request(idempotency_key=f"k{number}"))
    assert backend.runs <= 20 + 10 + 2
