"""Tests of claims: kills at each point, lost answers, outages and repeats."""

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
    """Counts runs; holds or fails them where the test wants."""

    def __init__(self, *errors: Exception) -> None:
        self.errors = list(errors)
        self.runs = 0
        self.reached = asyncio.Event()
        self.gate = asyncio.Event()
        self.gate.set()

    async def call(self, address, req) -> ServiceAnswer:
        self.runs += 1
        self.reached.set()
        await self.gate.wait()
        if self.errors:
            raise self.errors.pop(0)
        return ANSWER


def refused(verdict=Verdict.NOT_RUN) -> RefusedError:
    return RefusedError("backend_refused", "no", verdict=verdict)


def broken(verdict=Verdict.MAY_HAVE_RUN) -> UnavailableError:
    return UnavailableError("broken", verdict=verdict)


async def route(table, backend, **changes) -> ServiceAnswer:
    """Route one request through a gateway that knows nothing of earlier ones."""
    router = make_router(FakeSlots("a", "b", "c"), backend, make_claims(table))
    return await router.route(make_request(**changes))


async def refusal_of(table, backend, **changes) -> RefusedError:
    with pytest.raises(RefusedError) as caught:
        await route(table, backend, **changes)
    return caught.value


async def kill_while(task: asyncio.Task, reached: asyncio.Event) -> None:
    """Drop a gateway in the middle; nothing of it runs any further."""
    await reached.wait()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_a_kill_before_the_claim_leaves_the_key_free():
    table, backend = MemoryTable(), Backend()
    make_claims(table)
    assert (await route(table, backend, request_id="r2")).body == b"paid"
    assert backend.runs == 1


async def test_a_kill_between_claim_and_send_leaves_it_in_doubt():
    table, backend = MemoryTable(), Backend()
    claimed = await make_claims(table).claim(make_request())
    assert isinstance(claimed, Claim)
    exc = await refusal_of(table, backend, request_id="r2")
    assert (exc.reason, exc.verdict) == ("in_doubt", Verdict.MAY_HAVE_RUN)
    assert exc.retry_after is not None
    assert backend.runs == 0


async def test_a_kill_after_sending_leaves_it_in_doubt():
    table, backend = MemoryTable(), Backend()
    backend.gate.clear()
    router = make_router(FakeSlots("a"), backend, make_claims(table))
    run = asyncio.create_task(router._run(make_request()))
    await kill_while(run, backend.reached)
    backend.gate.set()
    exc = await refusal_of(table, backend, request_id="r2")
    assert exc.verdict is Verdict.MAY_HAVE_RUN
    assert backend.runs == 1


async def test_a_kill_before_the_outcome_is_written_leaves_it_in_doubt():
    table, backend = MemoryTable(), Backend()
    claims = make_claims(table)
    reached = asyncio.Event()

    async def finish(claim, answer) -> bool:
        reached.set()
        return await asyncio.Event().wait()

    claims.finish = finish
    router = make_router(FakeSlots("a"), backend, claims)
    await kill_while(asyncio.create_task(router._run(make_request())), reached)
    exc = await refusal_of(table, backend, request_id="r2")
    assert exc.verdict is Verdict.MAY_HAVE_RUN
    assert backend.runs == 1


async def test_a_repeat_at_another_gateway_gets_the_stored_outcome():
    table, backend = MemoryTable(), Backend()
    await route(table, backend)
    answer = await route(table, backend, request_id="r2")
    assert (answer.status, answer.body) == (200, b"paid")
    assert answer.headers == {"Content-Type": "text/plain"}
    assert answer.repeated
    assert backend.runs == 1


async def test_two_at_once_run_once():
    table, backend = MemoryTable(), Backend()
    requests = [route(table, backend, request_id=f"r{n}") for n in range(5)]
    results = await asyncio.gather(*requests, return_exceptions=True)
    assert backend.runs == 1
    assert any(isinstance(result, ServiceAnswer) for result in results)


async def test_the_table_down_refuses_at_once_and_nothing_runs():
    table, backend = MemoryTable(), Backend()
    table.down = True
    exc = await refusal_of(table, backend)
    assert (exc.reason, exc.verdict) == ("table_unavailable", Verdict.NOT_RUN)
    assert backend.runs == 0


async def test_a_claim_whose_answer_was_lost_is_read_back():
    table, backend = MemoryTable(), Backend()
    table.lose_answers = 1
    assert (await route(table, backend)).body == b"paid"
    assert backend.runs == 1


async def test_an_outcome_that_cannot_be_written_still_reaches_the_caller():
    table, backend = MemoryTable(), Backend()
    backend.gate.clear()
    asked = asyncio.create_task(route(table, backend))
    await backend.reached.wait()
    table.down = True
    backend.gate.set()
    assert (await asked).body == b"paid"
    table.down = False
    exc = await refusal_of(table, backend, request_id="r2")
    assert exc.verdict is Verdict.MAY_HAVE_RUN
    assert backend.runs == 1


async def test_what_certainly_did_not_run_may_be_claimed_again():
    table = MemoryTable()
    exc = await refusal_of(table, Backend(*[refused() for _ in range(3)]))
    assert exc.verdict is Verdict.NOT_RUN
    backend = Backend()
    assert (await route(table, backend, request_id="r2")).body == b"paid"
    assert backend.runs == 1


async def test_only_one_of_two_claims_a_released_key():
    table = MemoryTable()
    claims = make_claims(table)
    await claims.release(await claims.claim(make_request()))
    pair = [make_claims(table).claim(make_request(request_id=f"r{n}")) for n in (2, 3)]
    results = await asyncio.gather(*pair, return_exceptions=True)
    assert sum(isinstance(result, Claim) for result in results) == 1


async def test_not_run_is_tried_elsewhere_under_one_claim():
    table, backend = MemoryTable(), Backend(refused(), broken(Verdict.NOT_RUN))
    assert (await route(table, backend)).body == b"paid"
    assert backend.runs == 3
    assert table.commits == 2


async def test_what_may_have_run_is_never_sent_again():
    table, backend = MemoryTable(), Backend(broken())
    exc = await refusal_of(table, backend)
    assert exc.verdict is Verdict.MAY_HAVE_RUN
    exc = await refusal_of(table, backend, request_id="r2")
    assert exc.reason == "in_doubt"
    assert backend.runs == 1


async def test_an_idempotent_request_is_sent_again_and_never_claimed():
    table, backend = MemoryTable(), Backend(broken(), broken())
    answer = await route(table, backend, idempotent=True, idempotency_key="")
    assert answer.body == b"paid"
    assert (backend.runs, table.commits) == (3, 0)


async def test_a_caller_that_leaves_does_not_stop_a_claimed_request():
    table, backend = MemoryTable(), Backend()
    backend.gate.clear()
    router = make_router(FakeSlots("a"), backend, make_claims(table))
    asked = asyncio.create_task(router.route(make_request()))
    await kill_while(asked, backend.reached)
    backend.gate.set()
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


async def test_retries_end_when_the_budget_is_spent():
    backend = Backend(*[refused() for _ in range(99)])
    router = make_router(FakeSlots(*"abcdefgh"), backend, make_claims(MemoryTable()))
    for number in range(20):
        with pytest.raises(RefusedError):
            await router.route(make_request(idempotency_key=f"k{number}"))
    assert backend.runs <= 20 + 10 + 2
