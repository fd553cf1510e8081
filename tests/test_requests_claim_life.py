"""State machine test of claims, with crashes and faults at every step."""

import asyncio

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, rule

from cassiaweir.exceptions import RefusedError, UnavailableError
from cassiaweir.requests._models import ServiceAnswer
from cassiaweir.verdict import Verdict
from standins.memory import MemoryTable
from tests.test_requests_helpers import (
    FakeSlots,
    make_claims,
    make_request,
    make_router,
)

COMMIT_FAULTS = ("ok", "ok", "lost", "down", "kill_before", "kill_after")
CALL_FAULTS = (
    "ok",
    "ok",
    "refused",
    "unsent",
    "cut_before",
    "cut_after",
    "kill_before",
)
CALL_FAULTS += ("kill_after",)


class FaultyTable(MemoryTable):
    """Injects the next of `faults` into each commit; a crash is a cancellation."""

    faults: list[str] = []

    async def commit(self, checks, writes):
        fault = self.faults.pop(0) if self.faults else "ok"
        await asyncio.sleep(0)
        if fault == "kill_before":
            raise asyncio.CancelledError
        if fault == "down":
            raise UnavailableError("down", verdict=Verdict.NOT_RUN)
        versions = await super().commit(checks, writes)
        if fault == "kill_after":
            raise asyncio.CancelledError
        if fault == "lost":
            raise UnavailableError("lost", verdict=Verdict.MAY_HAVE_RUN)
        return versions


class FaultyBackend:
    """Injects the next of `faults` into each call and records which requests ran."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.ran: list[tuple[str, str]] = []

    async def call(self, address, req) -> ServiceAnswer:
        fault = self.faults.pop(0) if self.faults else "ok"
        await asyncio.sleep(0)
        if fault == "refused":
            raise RefusedError("backend_refused", "no")
        if fault == "unsent":
            raise UnavailableError("unsent", verdict=Verdict.NOT_RUN)
        if fault == "cut_before":
            raise UnavailableError("cut", verdict=Verdict.MAY_HAVE_RUN)
        if fault == "kill_before":
            raise asyncio.CancelledError
        self.ran.append((req.idempotency_key, req.request_id))
        if fault == "cut_after":
            raise UnavailableError("cut", verdict=Verdict.MAY_HAVE_RUN)
        if fault == "kill_after":
            raise asyncio.CancelledError
        return ServiceAnswer(200, req.request_id.encode())


class ClaimMachine(RuleBasedStateMachine):
    """Checks that a key runs at most once and that NOT_RUN is never wrong.

    Callers repeat requests with two keys, each through a gateway of its own.
    """

    def __init__(self) -> None:
        super().__init__()
        self.table = FaultyTable()
        self.backend = FaultyBackend()
        self.request_count = 0

    @rule(
        keys=st.lists(st.sampled_from(("k1", "k2")), min_size=1, max_size=3),
        commits=st.lists(st.sampled_from(COMMIT_FAULTS), max_size=6),
        calls=st.lists(st.sampled_from(CALL_FAULTS), max_size=4),
    )
    def ask(self, keys, commits, calls) -> None:
        self.table.faults = commits
        self.backend.faults = calls
        asyncio.run(self.ask_all(keys))

    async def ask_all(self, keys) -> None:
        await asyncio.gather(*[self.ask_one(key) for key in keys])

    async def ask_one(self, key) -> None:
        self.request_count += 1
        request_id = f"r{self.request_count}"
        router = make_router(
            FakeSlots("a", "b", "c", "d"), self.backend, make_claims(self.table)
        )
        req = make_request(idempotency_key=key, request_id=request_id)
        try:
            answer = await router._run(req)
        except RefusedError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                assert (key, request_id) not in self.backend.ran
        except asyncio.CancelledError:
            pass
        else:
            assert (key, answer.body.decode()) in self.backend.ran
        ran = [run for run in self.backend.ran if run[0] == key]
        assert len(ran) <= 1


ClaimMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=12, deadline=None
)
TestClaimMachine = ClaimMachine.TestCase
