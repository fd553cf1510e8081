"""Tests of failure domains that operators empty and give back.

Pattern: a request reaches the leader late, or at a bad moment, and tasks are started in
a domain that has been relied on to get none.  `FakeSite` records such starts as faults.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta

import pytest
from loguru import logger

from cassiaweir.dispatch import EndKind, OrderOutcome, ServerEntry, StartOrder
from cassiaweir.dispatch._evacuation import (
    GIVE_BACK_STEP_S,
    GIVE_BACK_STEPS,
    MAX_EVACUATIONS_AGE,
    Evacuations,
)
from cassiaweir.dispatch._orders import OrderSender, StartResult
from cassiaweir.dispatch._placer import MAX_ENTRIES_AGE
from cassiaweir.evacuation import EvacuationView, WatchedEvacuations
from cassiaweir.exceptions import UnavailableError
from cassiaweir.feeds import RowListeners
from cassiaweir.jobs import JobState, StepSpec
from cassiaweir.observe import Metrics
from cassiaweir.platform import PlatformStore, decode_server_entry
from cassiaweir.types import Row
from cassiaweir.verdict import Verdict
from tests.site_fakes import QUEUE, URGENT, FakeSite, FakeVm
from tests.test_dispatch_orders import Orders
from tests.test_platform_adapter import FakeTransport
from tests.test_site_faults import DOMAIN_FAULTS, RECOVERY_PERIOD_S, run_faults
from tests.virtual_time import VirtualClock, run_virtual

DOMAINS = ("a", "b", "c")
PREFIX = "op//evacuate/"
SMALL = StepSpec(count=4, cpu_millis=4_000, estimate_s=0.5)
WIDE = StepSpec(count=1, cpu_millis=16_000, estimate_s=1.0)
MAX_STRETCH_S = 6.0
"""Time by which an unstable store may delay the effect of a request."""

POLL_S = 0.8
WAVE_S = 0.65
"""Time between two short runs on a server while their ends cannot be stored."""

SEEN_S = 0.1
"""Time within which the leader has read a request while the store works."""


@pytest.fixture
def events() -> Iterator[list[tuple[str, dict]]]:
    """Return the events that are logged, with their fields."""
    found: list[tuple[str, dict]] = []
    handler = logger.add(
        lambda text: found.append((text.record["message"], text.record["extra"]))
    )
    yield found
    logger.remove(handler)


def now() -> float:
    return asyncio.get_running_loop().time()


async def site_with_leader(**options: object) -> tuple[FakeSite, FakeVm]:
    site = FakeSite(**{"servers": 9, "vms": 6, "domains": DOMAINS, **options})  # type: ignore[arg-type]
    leader = await site.wait_for_leader()
    await asyncio.sleep(0.5)
    return site, leader


async def submit_for(site: FakeSite, seconds: float) -> list[str]:
    """Submit about as many small jobs for some time as two domains can run."""
    jobs = []
    for _ in range(round(seconds / 0.1)):
        jobs.append(site.submit(SMALL, task_s=0.5))
        await asyncio.sleep(0.1)
    return jobs


def starts_in(site: FakeSite, domains: str, after: float) -> int:
    return sum(
        run.began_at > after
        and site.servers[run.server].entry.failure_domain in domains
        for run in site.history
    )


async def check_all_done(site: FakeSite, jobs: list[str], within_s: float) -> None:
    await asyncio.sleep(within_s)
    leader = await site.wait_for_leader()
    assert {leader.term.job_state(each) for each in jobs} == {JobState.DONE}
    assert not site.faults
    await site.close()


# Guards against starts in the domain after a request, and stops of what runs there.
@pytest.mark.parametrize("domains", ["a", "ab"])
@pytest.mark.parametrize("seed", range(3))
def test_no_task_starts_in_an_evacuated_domain_under_load(
    seed: int, domains: str
) -> None:
    async def body() -> None:
        site, _ = await site_with_leader(seed=seed)
        long = [site.submit(StepSpec(count=9, cpu_millis=1_000), task_s=4.0)]
        await submit_for(site, 1)
        for domain in domains:
            site.evacuate(domain)
        requested_at = now()
        jobs = await submit_for(site, 6)
        assert not starts_in(site, domains, requested_at + SEEN_S)
        assert starts_in(site, "c", requested_at + SEEN_S)
        assert len(site.starts_of(long[0])) == 9
        await check_all_done(site, jobs + long, 20)

    run_virtual(body)


# Guards against a successor that starts tasks before it has read the requests.
@pytest.mark.parametrize("delay_s", [0.0, 0.05, 1.0])
@pytest.mark.parametrize("seed", range(3))
def test_a_request_holds_through_a_takeover(seed: int, delay_s: float) -> None:
    async def body() -> None:
        site, leader = await site_with_leader(seed=seed)
        # The others read the requests only once one of them leads for a while.
        for vm in site.vms:
            if vm is not leader:
                vm.store.silent_tables = {"op"}
        await asyncio.sleep(3.5)
        site.evacuate("a")
        requested_at = now()
        await asyncio.sleep(delay_s)
        await leader.kill()
        jobs = [site.submit(SMALL, task_s=0.5) for _ in range(9)]
        await site.wait_for_leader()
        led_at = now()
        await asyncio.sleep(2)
        assert not any(run.began_at > led_at for run in site.history)
        for vm in site.vms:
            vm.store.silent_tables = set()
        await asyncio.sleep(6)
        assert not starts_in(site, "a", requested_at + SEEN_S)
        await check_all_done(site, jobs, 10)

    run_virtual(body)


# Guards against starts by requests as they were before the store fell silent.
@pytest.mark.parametrize("whole_store", [True, False])
def test_nothing_starts_while_the_requests_are_not_known(
    whole_store: bool, events: list[tuple[str, dict]]
) -> None:
    async def body() -> None:
        site, leader = await site_with_leader(vms=1)
        # More than can run in that time; a leader starts no newer jobs by itself.
        jobs = [site.submit(StepSpec(count=240, cpu_millis=16_000), task_s=0.3)]
        await asyncio.sleep(0.3)
        if whole_store:
            leader.store.fault_mode = "silent"
        leader.store.silent_tables = {"op"}
        site.evacuate("b")
        silent_at = now()
        await asyncio.sleep(4.5)
        limit_s = MAX_EVACUATIONS_AGE.total_seconds()
        assert starts_in(site, "abc", silent_at + limit_s - POLL_S - WAVE_S)
        assert not starts_in(site, "abc", silent_at + limit_s + SEEN_S)
        leader.store.fault_mode = ""
        leader.store.silent_tables = set()
        await check_all_done(site, jobs, 20)

    run_virtual(body)
    assert MAX_EVACUATIONS_AGE == MAX_ENTRIES_AGE
    names = [name for name, _ in events]
    assert names.index("evacuations_too_old") < names.index("evacuations_current")


# Guards against requests and withdrawals that are lost together with the history.
def test_requests_are_read_from_a_snapshot_when_the_history_is_lost() -> None:
    async def body() -> None:
        site, _ = await site_with_leader()
        site.evacuate("a")
        site.store.forget_history()
        await asyncio.sleep(SEEN_S)
        requested_at = now()
        jobs = await submit_for(site, 2)
        assert not starts_in(site, "a", requested_at)
        site.give_back("a")
        site.store.forget_history()
        jobs += [site.submit(WIDE, task_s=1.0) for _ in range(30)]
        await asyncio.sleep(5)
        assert starts_in(site, "a", requested_at)
        await check_all_done(site, jobs, 20)

    run_virtual(body)


# Guards against a view that ends with an earlier change of the same row.
@pytest.mark.parametrize("gap_s", [0.0, 0.002, 0.3])
@pytest.mark.parametrize("withdrawn", [False, True])
def test_the_last_of_several_changes_within_a_second_is_in_force(
    gap_s: float, withdrawn: bool
) -> None:
    async def body() -> None:
        site, _ = await site_with_leader()
        for change in (site.evacuate, site.give_back) * 2 + (site.evacuate,):
            change("a")
            await asyncio.sleep(gap_s)
        if withdrawn:
            site.give_back("a")
        changed_at = now() + SEEN_S
        jobs = await submit_for(site, 6)
        assert bool(starts_in(site, "a", changed_at)) is withdrawn
        await check_all_done(site, jobs, 20)

    run_virtual(body)


# Guards against the same in the client of the store.
async def test_a_row_that_was_removed_last_is_not_listed_as_written() -> None:
    def change(ver: int, *, removed: bool = False) -> dict:
        return {"table": "op", "key": "evacuate/a", "ver": ver, "removed": removed}

    rows = [change(4), change(5, removed=True)]
    answers = [(200, {"rows": each, "ver": 9}) for each in (rows, [change(6), *rows])]
    store = PlatformStore(FakeTransport(*answers))
    assert not (await store.changes("op", 3, timedelta(0))).written
    [row] = (await store.changes("op", 3, timedelta(0))).written
    assert row == Row("op//evacuate/a", 6, b"")


# Guards against a malformed value that ends the watch of all rows of operators.
async def test_the_value_of_a_request_is_ignored() -> None:
    base = {"table": "op", "key": "evacuate/a", "ver": 4}
    rows = [base | {"value": value} for value in ("x", "", None, "{}", "é")] + [base]
    store = PlatformStore(FakeTransport((200, {"rows": rows, "ver": 9})))
    found = (await store.changes("op", 3, timedelta(0))).written
    assert [row.key for row in found] == [f"{PREFIX}a"] * len(rows)


# Guards against a leader that resigns, or goes on at home, when its domain is emptied.
def test_a_leader_in_an_evacuated_domain_goes_on_leading() -> None:
    async def body() -> None:
        site, leader = await site_with_leader()
        site.evacuate(leader.failure_domain)
        requested_at = now()
        jobs = await submit_for(site, 6)
        assert site.leader() is leader
        assert not starts_in(site, leader.failure_domain, requested_at + SEEN_S)
        await check_all_done(site, jobs, 10)

    run_virtual(body)


# Guards against jobs that fail or get lost while nothing may start anywhere.
def test_jobs_wait_while_all_domains_are_evacuated() -> None:
    async def body() -> None:
        site, leader = await site_with_leader()
        for domain in DOMAINS:
            site.evacuate(domain)
        await asyncio.sleep(SEEN_S)
        jobs = await submit_for(site, 7)
        assert not site.history
        assert leader.metrics._gauges["evacuated_domains", ()] == len(DOMAINS)
        assert {leader.term.job_state(each) for each in jobs} == {JobState.QUEUED}
        for domain in DOMAINS:
            site.give_back(domain)
        await check_all_done(site, jobs, 25)

    run_virtual(body)


# Guards against a mistyped name that goes unnoticed, or that stops work elsewhere.
@pytest.mark.parametrize("name", ["x", ""])
def test_a_request_for_an_unknown_domain_only_gives_a_warning(
    name: str, events: list[tuple[str, dict]]
) -> None:
    async def body() -> None:
        site, leader = await site_with_leader(vms=1)
        site.evacuate(name)
        await asyncio.sleep(1)
        assert leader.metrics._gauges["evacuated_domains", ()] == int(bool(name))
        jobs = await submit_for(site, 2)
        used = {site.servers[each.server].entry.failure_domain for each in site.history}
        assert used == set(DOMAINS)
        await check_all_done(site, jobs, 5)

    run_virtual(body)
    unknown = [extra for each, extra in events if each == "evacuation_unknown_domain"]
    assert [each["domain"] for each in unknown] == [name]


class Source:
    """One run whose start an `EvacuationView` that is current at `read_at` decides."""

    def __init__(self, unanswered: int = 0) -> None:
        self.read_at = now()
        self.view = EvacuationView(PREFIX, VirtualClock(), Metrics())
        self.orders = Orders(unanswered)
        source = WatchedEvacuations(
            self.view, lambda: timedelta(seconds=now() - self.read_at)
        )
        server = self.orders.server
        rules = Evacuations(source, VirtualClock(), {server.server_id: server})
        self.sender = OrderSender(
            self.orders, VirtualClock(), self.orders.leadership, print, rules.permit
        )

    def request(self) -> None:
        """Read a request to evacuate the domain of the server."""
        self.view.on_row(f"{PREFIX}a", Row(f"{PREFIX}a", 1, b""))


# Guards against orders that a leader sends after a pause on what it knew before.
def test_after_a_pause_no_start_is_sent_before_the_requests_are_read(
    events: list[tuple[str, dict]],
) -> None:
    async def body() -> None:
        source = Source()
        run = source.orders.run
        await asyncio.sleep(MAX_EVACUATIONS_AGE.total_seconds() + 0.1)
        # The server and the store have answered again, but not the watch of requests.
        source.orders.server.update_from_report(
            await source.orders.renew_lease(), now()
        )
        source.orders.leadership.confirmed_at = now()
        assert await source.sender.start(run) == (StartResult.NOT_STARTED, None)
        source.read_at = now()
        source.request()
        assert await source.sender.start(run) == (StartResult.NOT_STARTED, None)
        assert not source.orders.starts

    run_virtual(body)
    withheld = [extra["evacuation"] for each, extra in events if "withheld" in each]
    assert withheld == ["unknown", "evacuated"]


# Guards against TWICE: a start in doubt that is taken for one that was not sent.
@pytest.mark.parametrize("known", [True, False])
def test_a_start_in_doubt_is_stopped_when_its_domain_is_evacuated(known: bool) -> None:
    async def body() -> None:
        source = Source(unanswered=100)
        work = asyncio.create_task(source.sender.start(source.orders.run))
        await asyncio.sleep(0.01)
        if known:
            source.request()
        else:
            source.read_at = now() - MAX_EVACUATIONS_AGE.total_seconds() - 0.1
        await asyncio.sleep(0.5)
        assert len(source.orders.starts) == 1
        assert work.done() is known
        source.request()
        source.read_at = now()
        assert (await work)[0] is StartResult.UNKNOWN
        assert len(source.orders.starts) == len(source.orders.stops) == 1
        assert source.orders.run.key in source.orders.server.runs

    run_virtual(body)


# Guards against GANG: members that go on without one whose start was abandoned.
def test_a_gang_is_stopped_if_the_start_of_a_member_is_abandoned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body() -> None:
        site, leader = await site_with_leader(servers=3, vms=1)
        start = leader.orders.start

        async def lose_answer(
            entry: ServerEntry, order: StartOrder, timeout: timedelta
        ) -> OrderOutcome:
            outcome = await start(entry, order, timeout)
            if entry.failure_domain == "b":
                site.evacuate("b")
                await asyncio.sleep(SEEN_S)
                raise UnavailableError("no answer", verdict=Verdict.MAY_HAVE_RUN)
            return outcome

        monkeypatch.setattr(leader.orders, "start", lose_answer)
        gang = StepSpec(count=3, cpu_millis=16_000, estimate_s=5.0, gang=True)
        job = site.submit(gang, task_s=5.0)
        await asyncio.sleep(1.5)
        assert len(site.starts_of(job)) == 3
        assert all(run.how is EndKind.STOPPED for run in site.starts_of(job))
        monkeypatch.undo()
        site.give_back("b")
        await check_all_done(site, [job], 15)

    run_virtual(body)


# Guards against a gang that keeps waiting for servers of the evacuated domain.
def test_a_waiting_gang_reserves_servers_elsewhere() -> None:
    async def body() -> None:
        site, leader = await site_with_leader(servers=9, vms=1)
        for number in range(9):
            site.submit(WIDE, task_s=1.0 + number)
        await asyncio.sleep(0.2)
        gang = StepSpec(count=3, cpu_millis=16_000, estimate_s=1.0, gang=True)
        job = site.submit(gang, task_s=1.0)
        await asyncio.sleep(0.2)
        site.evacuate("a")
        await asyncio.sleep(0.3)
        dispatcher = leader.term._dispatcher
        assert dispatcher is not None
        [reserved] = dispatcher._placer._reservations._by_step.values()
        domains = {site.servers[each].entry.failure_domain for each in reserved.servers}
        assert domains
        assert "a" not in domains
        await check_all_done(site, [job], 15)

    run_virtual(body)


# Guards against a burst that goes as a whole to the cold servers given back.
def test_a_domain_given_back_during_a_burst_is_filled_step_by_step() -> None:
    async def body() -> None:
        site, leader = await site_with_leader(servers=48, vms=2)
        site.evacuate("b")
        await asyncio.sleep(1)
        for server in site.servers.values():
            if server.entry.failure_domain == "b":
                server.make_cold(30.0)
        jobs = [site.submit(WIDE, task_s=2.0) for _ in range(120)]
        await asyncio.sleep(0.5)
        site.give_back("b")
        given_back_at = now()
        await asyncio.sleep(1)
        # The steps go on under a successor.
        await leader.kill()
        await asyncio.sleep(GIVE_BACK_STEPS * GIVE_BACK_STEP_S)
        steps = Counter(
            int((run.began_at - given_back_at) / GIVE_BACK_STEP_S)
            for run in site.history
            if site.servers[run.server].entry.failure_domain == "b"
        )
        assert steps[0] == steps[1] == 2
        assert sum(steps.values()) == 16
        assert max(steps.values()) <= 8
        await check_all_done(site, jobs, 20)

    run_virtual(body)


def slow_site_jobs(site: FakeSite, cold: int) -> None:
    for number in range(cold):
        site.servers[f"i-{number}"].make_cold(60.0)


# Guards against urgent work on slow servers while work that can wait takes the fast.
def test_urgent_work_prefers_warm_servers() -> None:
    async def body() -> None:
        site, _ = await site_with_leader(servers=4, vms=1, domains=("a",))
        slow_site_jobs(site, 2)
        await asyncio.sleep(0.2)
        first = [site.submit(WIDE, task_s=0.5) for _ in range(2)]
        await asyncio.sleep(0.1)
        assert {site.starts_of(each)[0].server for each in first} == {"i-2", "i-3"}
        # No warm server has room for what comes now.
        urgent = site.submit(WIDE, queue=URGENT, task_s=0.5)
        others = [site.submit(WIDE, task_s=0.5) for _ in range(3)]
        await asyncio.sleep(0.6)
        assert site.starts_of(urgent)[0].server in ("i-2", "i-3")
        assert {site.starts_of(each)[0].server for each in others[:2]} == {"i-0", "i-1"}
        await check_all_done(site, [*first, urgent, *others], 10)

    run_virtual(body)


# Guards against a server that is avoided as a slow one once it has become warm.
def test_a_cold_server_is_not_taken_for_a_slow_one() -> None:
    async def body() -> None:
        site, leader = await site_with_leader(servers=3, vms=1)
        site.servers["i-0"].make_cold(6.0)
        await asyncio.sleep(0.2)
        step = StepSpec(count=12, cpu_millis=4_000, estimate_s=1.0)
        jobs = [site.submit(step) for _ in range(2)]
        await asyncio.sleep(5.5)
        dispatcher = leader.term._dispatcher
        assert dispatcher is not None
        assert 0.9 < dispatcher.servers["i-0"].relative_speed < 1.1
        await check_all_done(site, jobs, 5)

    run_virtual(body)


# Guards against urgent work that waits in vain for a warm server.
@pytest.mark.parametrize(("cold", "limit_s"), [(4, 0.1), (3, 1.0)])
def test_urgent_work_starts_on_cold_servers_before_it_is_late(
    cold: int, limit_s: float
) -> None:
    async def body() -> None:
        site, _ = await site_with_leader(servers=4, vms=1, domains=("a",))
        slow_site_jobs(site, cold)
        await asyncio.sleep(0.2)
        for _ in range(4 - cold):
            site.submit(WIDE, task_s=9.0)
        await asyncio.sleep(0.1)
        # A job that can wait, but finds no room: it needs more than any server has.
        site.submit(StepSpec(count=1, cpu_millis=17_000, estimate_s=1.0), task_s=1.0)
        submitted_at = now()
        urgent = site.submit(WIDE, queue=URGENT, task_s=1.0)
        assert (await site.first_start(urgent)).began_at < submitted_at + limit_s
        await check_all_done(site, [urgent], 10)

    run_virtual(body)


# Guards against a server that counts as missing because of an unexpected field.
@pytest.mark.parametrize(
    ("field", "seconds"),
    [
        ("", 0.0),
        (', "cold_left_ms": null', 0.0),
        (', "cold_left_ms": 1500', 1.5),
        (', "cold_left_ms": -5', 0.0),
    ],
)
def test_entries_say_for_how_long_a_server_stays_cold(
    field: str, seconds: float
) -> None:
    raw = '{"service": "s", "addr": "a:1", "zone": "z", "state": "ready", "room": {}'
    entry = decode_server_entry("i-1", f"{raw}{field}}}".encode())
    assert entry.cold_left_s == seconds


# Guards against a fault in one view that keeps another from what was stored.
def test_an_error_in_one_listener_does_not_keep_a_row_from_the_others() -> None:
    class Faulty:
        def on_row(self, key: str, row: Row | None) -> None:
            raise RuntimeError

    view = EvacuationView(PREFIX, VirtualClock(), Metrics())
    key = f"{PREFIX}a"
    RowListeners([Faulty(), view]).on_row(key, Row(key, 1, b"{broken"))
    assert view.is_evacuated("a") and not view.is_evacuated(QUEUE.name)


async def evacuate_for_some_time(site: FakeSite, rng: random.Random) -> None:
    domain = rng.choice(DOMAINS)
    if domain not in site._evacuated_at:
        site.evacuate(domain)
        await asyncio.sleep(rng.uniform(0.2, 16))
        site.give_back(domain)


# Guards against late starts under faults of the store, the network and the leader.
@pytest.mark.parametrize("seed", range(400, 408))
def test_requests_hold_under_random_faults(seed: int) -> None:
    async def body() -> None:
        site, _ = await site_with_leader(seed=seed)
        site.evacuation_s += MAX_STRETCH_S
        kinds = (*DOMAIN_FAULTS, *[evacuate_for_some_time] * 4)
        jobs = await run_faults(site, site.rng, kinds)
        await check_all_done(site, jobs, RECOVERY_PERIOD_S)

    run_virtual(body)
