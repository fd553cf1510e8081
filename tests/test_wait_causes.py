"""Tests that the leader's summary names what tasks wait for, with a load for each."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

import msgspec
import pytest
from loguru import logger

from cassiaweir.dispatch._wait_causes import MAX_NAMED, WaitCause, encode_counts
from cassiaweir.jobs import StepSpec
from cassiaweir.observe._logs import format_record
from cassiaweir.observe._waits import WaitSecond, read_waits
from cassiaweir.queues import Customer, Queue
from cassiaweir.types import Resources
from standins.users import FakeServer
from tests.site_fakes import (
    ADVISED,
    CUSTOMER,
    QUEUE,
    URGENT,
    FakeSite,
    configuration,
)
from tests.test_takeover_holding import DOMAINS, WIDE, cut_leader
from tests.virtual_time import VirtualClock, run_virtual

CORE = StepSpec(count=4, cpu_millis=1_000, estimate_s=1.0)

GANGS = replace(QUEUE, name="gangs", stretch=100.0)
PATIENT = replace(URGENT, name="patient", slack_s=60.0)
Load = Callable[[FakeSite], Awaitable[None]]


@contextmanager
def log_lines() -> Iterator[list[str]]:
    """Collect the log lines of the site, with the virtual time."""
    found: list[str] = []

    def collect(message: object) -> None:
        record = message.record  # type: ignore[attr-defined]
        record["time"] = VirtualClock().now()
        format_record(record)
        found.append(record["extra"]["line"])

    sink = logger.add(collect, level="INFO", format="{message}")
    try:
        yield found
    finally:
        logger.remove(sink)


def causes(lines: list[WaitSecond], queue: str) -> Counter[str]:
    """Return the tasks of `queue` by cause, added up over the lines."""
    found: Counter[str] = Counter()
    for line in lines:
        found.update(line.queues.get(queue, {}))
    return found


async def fill(site: FakeSite, task_s: float = 30.0) -> None:
    for _ in site.servers:
        site.submit(WIDE, task_s=task_s, customer="other")
    await asyncio.sleep(0.5)


async def lack_capacity(site: FakeSite) -> None:
    await fill(site)
    site.submit(CORE)


async def exceed_cap(site: FakeSite) -> None:
    capped = Customer("agency", weight=20.0, cap=Resources(1_000))
    site.configuration.value = configuration(capped)
    site.submit(CORE, task_s=5.0)


async def exceed_share(site: FakeSite) -> None:
    agency = Customer("agency", weight=1.0)
    site.configuration.value = configuration(agency, Customer("other", weight=50.0))
    await fill(site)
    for _ in range(8):
        site.submit(CORE)


async def await_advice(site: FakeSite) -> None:
    site.submit(CORE, queue=ADVISED)


async def take_over(site: FakeSite) -> None:
    jobs = [site.submit(CORE, task_s=30.0) for _ in range(30)]
    await asyncio.sleep(0.5)
    assert len(jobs) == 30
    await cut_leader(site)


async def reserve_for_gang(site: FakeSite) -> None:
    """Make a gang wait for servers of which more than half is in use until 20 s."""
    most = StepSpec(count=1, cpu_millis=10_000, estimate_s=20.0)
    for _ in site.servers:
        site.submit(most, task_s=20.0, customer="other")
    await asyncio.sleep(0.5)
    gang = StepSpec(count=9, cpu_millis=8_000, estimate_s=3.0, gang=True)
    site.submit(gang, queue=GANGS)
    await asyncio.sleep(0.5)
    site.submit(StepSpec(count=9, cpu_millis=6_000, estimate_s=60.0), task_s=60.0)


async def lose_store(site: FakeSite) -> None:
    leader = await site.wait_for_leader()
    leader.store.fault_mode = "silent"
    await asyncio.sleep(0.1)
    site.submit(CORE)


async def evacuate(site: FakeSite) -> None:
    for domain in DOMAINS:
        site.evacuate(domain)
    await asyncio.sleep(1.0)
    site.submit(CORE)


async def keep_off_cold_servers(site: FakeSite) -> None:
    """Urgent work waits for a warm server while other work can use the cold ones."""
    warm, *cold = site.servers.values()
    await fill(site)
    for server in cold:
        server.make_cold(60.0)
    for job_id in list(site.specs):
        if site.starts_of(job_id)[0].server != warm.entry.server_id:
            site.cancel(job_id)
    await asyncio.sleep(1.0)
    site.submit(replace(WIDE, cpu_millis=17_000), queue=QUEUE)
    site.submit(CORE, queue=PATIENT)


@pytest.mark.parametrize(
    ("load", "queue", "cause"),
    [
        (lack_capacity, QUEUE, "capacity"),
        (exceed_cap, QUEUE, "cap"),
        (exceed_share, QUEUE, "share"),
        (await_advice, ADVISED, "advice"),
        (take_over, QUEUE, "takeover"),
        (reserve_for_gang, QUEUE, "reserved"),
        (lose_store, QUEUE, "store"),
        (evacuate, QUEUE, "evacuation"),
        (keep_off_cold_servers, PATIENT, "order"),
    ],
)
def test_summary_names_the_cause(load: Load, queue: Queue, cause: str) -> None:
    """Guards against a cause that is taken for another one, or not counted."""
    found: Counter[str] = Counter()

    async def body() -> None:
        site = FakeSite(servers=9, vms=6, domains=DOMAINS, question_s=9.0)
        site.configuration.value = configuration(
            CUSTOMER, Customer("other"), queues=[QUEUE, ADVISED, URGENT, GANGS, PATIENT]
        )
        await site.wait_for_leader()
        await asyncio.sleep(1.0)
        with log_lines() as lines:
            await load(site)
            await asyncio.sleep(2.0)
        found.update(causes(read_waits(lines).seconds[-2:], queue.name))
        await site.close()

    run_virtual(body)
    assert found.most_common(1)[0][0] == cause, found


def test_placed_tasks_whose_start_is_not_recorded_wait_for_the_store() -> None:
    """Guards against tasks that wait for a row of their server and are not counted."""

    async def body() -> None:
        site = FakeSite(servers=3, vms=1)
        leader = await site.wait_for_leader()
        await asyncio.sleep(1.0)
        commit = leader.store.commit

        async def commit_late(*args: Any) -> dict[str, int]:
            await asyncio.sleep(1.5)
            return await commit(*args)

        leader.store.commit = commit_late  # type: ignore[method-assign]
        with log_lines() as lines:
            site.submit(CORE)
            await asyncio.sleep(4.0)
        placed = next(n for n, each in enumerate(lines) if "tasks_placed" in each)
        seconds = read_waits(lines[placed:]).seconds
        assert causes(seconds, QUEUE.name)["store"] >= 4
        await site.close()

    run_virtual(body)


def test_room_on_servers_that_were_not_read_or_have_not_answered_is_no_lack() -> None:
    """Guards against a lack of capacity that is reported when a term begins."""

    async def body() -> None:
        site = FakeSite(servers=1, vms=1)
        site.submit(replace(WIDE, count=2), task_s=30.0)
        with log_lines() as lines:
            leader = await site.wait_for_leader()
            await asyncio.sleep(0.9)
            server = FakeServer("i-1", site, "r1-0", "augusta")
            site.servers["i-1"] = server
            leader.orders.unreachable.add("i-1")
            site.register(server)
            await asyncio.sleep(0.2)
        term_begins, server_asked = read_waits(lines).seconds
        assert causes([term_begins], QUEUE.name) == {"store": 2}
        assert causes([server_asked], QUEUE.name) == {"takeover": 1}
        await site.close()

    run_virtual(body)


def test_one_line_a_second_holds_every_waiting_task_and_the_cpu() -> None:
    """Guards against tasks that are left out or counted twice, and against floods."""

    async def body() -> None:
        site = FakeSite(servers=3, vms=1)
        await site.wait_for_leader()
        await fill(site)
        for _ in range(15):
            site.submit(CORE)
        with log_lines() as lines:
            await asyncio.sleep(5.0)
        assert 4 <= sum("event=tasks_waiting" in each for each in lines) <= 5
        for second in read_waits(lines).seconds[1:]:
            assert (second.cpu_used, second.cpu_total) == (48_000, 48_000)
            assert causes([second], QUEUE.name) == {"capacity": 60}
            assert second.customers == {"agency": {"capacity": 60}}
            assert second.tasks == 60
        await site.close()

    run_virtual(body)


def test_report_shows_the_cpu_in_use_after_a_takeover_and_the_end_of_a_cut() -> None:
    """Guards against events or fields that the report expects and nobody logs."""

    async def body() -> None:
        site = FakeSite(servers=9, vms=6, domains=DOMAINS)
        await site.wait_for_leader()
        with log_lines() as lines:
            for _ in range(30):
                site.submit(CORE, task_s=30.0)
            await asyncio.sleep(1.0)
            await cut_leader(site)
            await asyncio.sleep(6.0)
            for domain in list(site.cut_domains):
                site.heal_domain(domain)
            await asyncio.sleep(6.0)
        found = {each.kind: each for each in read_waits(lines).recoveries}
        assert read_waits(lines).skipped_lines == 0
        assert found["cut ended"].events >= 3
        cores_of_two_domains = 96 / 144
        takeover, after_cut = found["takeover"].used, found["cut ended"].used
        assert takeover[-1] is not None and 0.3 < takeover[-1] <= cores_of_two_domains
        assert after_cut[-1] is not None and after_cut[-1] > takeover[-1]
        await site.close()

    run_virtual(body)


def test_no_lines_while_nothing_waits_and_nothing_changes() -> None:
    """Guards against lines that an idle site would log all day."""

    async def body() -> None:
        site = FakeSite(servers=3, vms=1)
        await site.wait_for_leader()
        await asyncio.sleep(2.0)
        with log_lines() as lines:
            await asyncio.sleep(20.0)
        assert not lines
        await site.close()

    run_virtual(body)


def test_counts_are_bounded_and_the_rest_is_summed_up() -> None:
    """Guards against lines that grow with the number of queues or their names."""
    table = {f"{number:03}" * 100: {WaitCause.CAP: number} for number in range(1, 101)}
    found = msgspec.json.decode(encode_counts(table))
    assert len(found) == MAX_NAMED + 1
    assert sum(each["cap"] for each in found.values()) == 5050
    assert len(encode_counts(table)) < 1_300
