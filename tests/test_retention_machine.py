"""A stateful test of retention.

Two cleaners, clients and shard owners share one table that has faults.
"""

import asyncio
import math

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cassiaweir.clock import ManualClock
from cassiaweir.exceptions import ConflictError, NotFoundError, RefusedError
from cassiaweir.requests import ClaimRow, ClaimState, ServiceAnswer
from cassiaweir.requests._claims import Claim
from cassiaweir.work import decode_job, done_key, part_key
from tests.fleet_fakes import make_spec
from tests.retention_helpers import (
    DAY,
    HOUR,
    SHARDS,
    Cleaner,
    InterleavingTable,
    SteppingClock,
    end_part,
    make_claims,
)
from tests.test_requests_helpers import make_request
from tests.test_retention import make_job_manager

JOBS = ["j1", "j2"]
CLAIM_KEYS = ["k1", "k2"]
ANSWER = ServiceAnswer(200, b"paid", {})


class RetentionMachine(RuleBasedStateMachine):
    """Checks that no open part or claim is removed, and no job is removed in part.

    The clock of the second cleaner and the second gateway can be set.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.table = InterleavingTable()
        self.clock = ManualClock()
        self.stepping_clock = SteppingClock(self.clock)
        self.cleaners = [Cleaner(self.table, clock) for clock in self._clocks()]
        self.job_manager = make_job_manager(self.table, self.clock, self.cleaners[0])
        self.claims = [make_claims(self.table, clock, "g") for clock in self._clocks()]
        self.running: dict[str, list[Claim]] = {key: [] for key in CLAIM_KEYS}
        self.ended_at: dict[str, float] = {}
        self.request_count = 0

    def _clocks(self):
        return [self.clock, self.stepping_clock]

    def teardown(self):
        self._wait(self.job_manager.stop())
        self.loop.close()

    def _wait(self, call):
        return self.loop.run_until_complete(call)

    @rule(job=st.sampled_from(JOBS))
    def submit(self, job):
        self._wait(self._submit(job))

    async def _submit(self, job):
        try:
            await self.job_manager.submit(make_spec(job, tasks=90), "t1")
        except (RefusedError, ConflictError):
            return

    @rule(job=st.sampled_from(JOBS))
    def cancel(self, job):
        self._wait(self._cancel(job))

    async def _cancel(self, job):
        try:
            await self.job_manager.cancel(job)
        except (RefusedError, NotFoundError):
            return

    @rule(job=st.sampled_from(JOBS))
    def finish_job(self, job):
        for shard in SHARDS:
            self._finish_part(job, shard)

    @rule(job=st.sampled_from(JOBS), shard=st.sampled_from(SHARDS))
    def finish_part(self, job, shard):
        self._finish_part(job, shard)

    def _finish_part(self, job, shard):
        if not self.table.down and part_key(shard, job) in self.table.row_keys():
            faults = self._without_faults()
            self._wait(end_part(self.table, job, shard))
            self._set_faults(faults)
            self.ended_at[job] = self.clock.monotonic()

    @rule(key=st.sampled_from(CLAIM_KEYS), gateway=st.integers(0, 1))
    def claim(self, key, gateway):
        self._wait(self._claim(key, gateway))

    async def _claim(self, key, gateway):
        self.request_count += 1
        req = make_request(
            request_id=f"r{self.request_count}",
            idempotency_key=key,
            deadline=self.clock.monotonic() + 10,
        )
        try:
            found = await self.claims[gateway].claim(req)
        except RefusedError:
            return
        if isinstance(found, Claim):
            assert not self.running[key], (
                "a second run was started while the first is running"
            )
            self.running[key].append(found)
            self.ended_at[found.key] = math.inf

    @rule(
        key=st.sampled_from(CLAIM_KEYS),
        gateway=st.integers(0, 1),
        ran=st.booleans(),
    )
    def end_claim(self, key, gateway, ran):
        self._wait(self._end_claim(key, gateway, ran))

    async def _end_claim(self, key, gateway, ran):
        for claim in self.running[key]:
            claims = self.claims[gateway]
            if ran:
                await claims.finish(claim, ANSWER)
            else:
                await claims.release(claim)
            self.ended_at[claim.key] = self.clock.monotonic()
        self.running[key].clear()

    @rule(job=st.sampled_from(JOBS), key=st.sampled_from(CLAIM_KEYS))
    def race_the_next_removal(self, job, key):
        async def race():
            await self._cancel(job)
            await self._submit(job)
            await self._claim(key, 0)

        self.table.before_delete = race

    @rule(cleaner=st.integers(0, 1), early=st.sampled_from([0, 1]))
    def grow_old(self, cleaner, early):
        """Let a cleaner watch all rows until `early` seconds before they are due."""
        self.clean(cleaner, 4)
        self.clock.advance(8 * DAY)
        self.clean(cleaner, 4)
        self.clock.advance(HOUR - early)
        self.clean(cleaner, 4)

    @rule(cleaner=st.integers(0, 1), turns=st.integers(1, 6))
    def clean(self, cleaner, turns):
        before = set(self.table.row_keys())
        self._wait(self.cleaners[cleaner].turns(turns))
        self._check_removed(before - set(self.table.row_keys()))

    def _check_removed(self, removed):
        """Check that no row was removed within the watch period after its end."""
        for key in removed:
            name = key.split("/")[1] if key[0] in "jd" else key
            assert self.clock.monotonic() - self.ended_at[name] >= HOUR

    @rule(cleaner=st.integers(0, 1))
    def restart(self, cleaner):
        self.cleaners[cleaner] = Cleaner(self.table, self._clocks()[cleaner])

    @rule(seconds=st.sampled_from([1, 70, HOUR // 2, HOUR, DAY, 8 * DAY]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule(shift=st.sampled_from([-400 * DAY, 0, 30 * DAY]))
    def set_wall_clock(self, shift):
        self.stepping_clock.shift = shift

    @rule(fault=st.sampled_from(["lose_answers", "lose_requests", "hold_commits"]))
    def break_commits(self, fault):
        setattr(self.table, fault, 1)

    @rule(down=st.booleans())
    def set_outage(self, down):
        self.table.down = down

    @precondition(lambda self: self.table.held)
    @rule()
    def apply_late_commits(self):
        before = set(self.table.row_keys())
        self.table.apply_held()
        self._check_removed(before - set(self.table.row_keys()))

    @invariant()
    def nothing_is_half_removed(self):
        row_keys = set(self.table.row_keys())
        for key in row_keys:
            kind, *rest = key.split("/")
            if kind == "part":
                assert f"job/{rest[1]}" in row_keys
            if kind == "done":
                assert f"job/{rest[0]}" in row_keys
            if kind == "job":
                self._check_whole(key, row_keys)

    def _check_whole(self, key, row_keys):
        job = decode_job(self.table._rows[key])
        for shard in job.shards:
            part, done = part_key(shard, job.job), done_key(job.job, shard)
            assert (part in row_keys) != (done in row_keys)

    @invariant()
    def a_running_claim_is_kept(self):
        for claims in self.running.values():
            for claim in claims:
                row = self.table._rows[claim.key]
                found = msgspec.json.decode(row.value, type=ClaimRow)
                assert found.state is ClaimState.CLAIMED

    def _without_faults(self):
        names = ["lose_answers", "lose_requests", "hold_commits"]
        faults = {name: getattr(self.table, name) for name in names}
        self._set_faults(dict.fromkeys(names, 0))
        return faults

    def _set_faults(self, faults):
        for name, count in faults.items():
            setattr(self.table, name, count)


TestRetention = RetentionMachine.TestCase
TestRetention.settings = settings(
    max_examples=80, stateful_step_count=40, derandomize=True, deadline=None
)
