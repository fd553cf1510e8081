"""Tests that the accepted work that a leader keeps in memory is bounded."""

from __future__ import annotations

import asyncio

from cassiaweir.jobs import StepSpec
from cassiaweir.peers._load import decode_load, encode_load
from cassiaweir.queues import Customer
from cassiaweir.scheduling import LoadSnapshot, crowded_customers
from cassiaweir.scheduling._admission import too_many_jobs
from cassiaweir.scheduling._crowding import (
    MAX_OPEN_STEPS,
    MAX_OPEN_STEPS_OF_CUSTOMER,
)
from tests.site_fakes import CUSTOMER, FakeSite, configuration
from tests.virtual_time import run_virtual


# Guards against a leader that ends for its memory, as jobs that can't run, that last or
# that are due in years are accepted without end.
def test_a_customer_with_too_many_open_steps_is_refused() -> None:
    steps = {"many": MAX_OPEN_STEPS_OF_CUSTOMER, "few": 10}
    assert crowded_customers(steps) == {"many"}
    load = LoadSnapshot(1, 0.0, crowded=crowded_customers(steps))
    rejected = too_many_jobs("many", load)
    assert rejected is not None
    assert rejected.retry_after_s > 0
    assert too_many_jobs("few", load) is None


# Guards against customers that are refused for what others have submitted.
def test_of_many_customers_those_above_the_average_are_refused() -> None:
    steps = {f"c{number}": 140 for number in range(200)}
    assert not crowded_customers(steps)
    steps |= {"large": 5_000, "small": 3}
    assert sum(steps.values()) > MAX_OPEN_STEPS
    assert crowded_customers(steps) == {"large"}
    assert not crowded_customers({})


def test_crowded_customers_reach_the_other_vms() -> None:
    load = LoadSnapshot(3, 5.0, crowded=frozenset({"a", "b"}))
    found = decode_load(encode_load(load, 5.0), 7.0)
    assert found is not None
    assert found.crowded == {"a", "b"}


def test_the_numbers_of_pending_jobs_reach_the_other_vms() -> None:
    load = LoadSnapshot(3, 5.0, pending={"spot": 0, "recon": 3})
    found = decode_load(encode_load(load, 5.0), 7.0)
    assert found is not None
    assert found.pending == {"spot": 0, "recon": 3}


def test_the_leader_tells_which_customers_are_crowded() -> None:
    async def body() -> None:
        site = FakeSite(servers=1, vms=1)
        other = Customer("other", frozenset({"k"}))
        site.configuration.value = configuration(CUSTOMER, other)
        leader = await site.wait_for_leader()
        never = [StepSpec(count=1, label="none")] * 100
        for _ in range(MAX_OPEN_STEPS_OF_CUSTOMER // 100):
            site.submit(*never)
        site.submit(StepSpec(count=1), customer="other")
        await asyncio.sleep(1.6)
        load = leader.term.load()
        assert load is not None
        assert load.crowded == {CUSTOMER.name}
        await site.close()

    run_virtual(body)
