"""Tests of the parts of `cassiaweir.dispatch` that need no other."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiaweir.dispatch import ServerEntry, ServerReport
from cassiaweir.dispatch._gate import LONGEST_FORMER_LEASE_S, TakeoverGate
from cassiaweir.dispatch._health import ServerHealth
from cassiaweir.dispatch._objective import (
    DeadlineStatus,
    critical_path_s,
    deadline_status,
    objective_of,
    remaining_critical_path_s,
)
from cassiaweir.dispatch._placement import (
    choose_servers,
    find_candidates,
    fitting_tasks,
)
from cassiaweir.dispatch._runs import Run
from cassiaweir.dispatch._server import LEASE_S, LONGEST_LEASE_MS, Server
from cassiaweir.dispatch._shares import ShareMeter
from cassiaweir.dispatch._speed import RunProgress, ServerSpeed
from cassiaweir.dispatch._usage import CustomerUsage
from cassiaweir.jobs import Job, JobSpec, Step, StepSpec
from cassiaweir.queues import Customer
from cassiaweir.types import Resources
from tests.site_fakes import QUEUE


def server_of(name: str, *, used: int = 0, rack: str = "r1-0") -> Server:
    entry = ServerEntry(
        name, "a", "inventory", "z", Resources(16_000, 65_536), frozenset({rack}), rack
    )
    server = Server(entry)
    server.used = Resources(used)
    server.fenced = server.recorded = True
    server.update_from_report(ServerReport(0, 1, [], []), 0.0)
    return server


def step_of(**fields: object) -> Step:
    spec = JobSpec("0" * 16, QUEUE, "c", "x", (StepSpec(count=4, **fields),), 0.0)  # type: ignore[arg-type]
    return Job(spec, 1, 3).steps[0, 0]


def test_the_gate_opens_when_every_server_is_settled():
    gate = TakeoverGate(["a", "b"], former_authority_end=100)
    gate.mark_settled("a")
    assert not gate.try_open(0)
    gate.mark_settled("b")
    assert gate.try_open(0)


def test_the_gate_opens_for_silent_servers_after_authority_and_lease():
    gate = TakeoverGate(["a"], former_authority_end=100)
    assert not gate.try_open(100 + LONGEST_FORMER_LEASE_S - 0.01)
    assert gate.try_open(100 + LONGEST_FORMER_LEASE_S)


def test_the_gate_opens_sooner_where_the_former_leader_is_gone():
    gate = TakeoverGate(["a"], former_authority_end=100)
    gate.handle_former_leader_exit(10)
    assert gate.try_open(10 + LONGEST_FORMER_LEASE_S)


def test_servers_are_suspended_for_failing_several_jobs_not_one():
    health = ServerHealth()
    for _ in range(5):
        health.record_failure("poisoned", 0)
    assert not health.suspended(0)
    assert health.record_failure("other", 0)
    assert health.suspended(1)
    assert not health.suspended(4)


def test_one_failure_on_probation_suspends_for_longer():
    health = ServerHealth()
    for job in ("a", "b", "c"):
        health.record_failure(job, 0)
    health.record_failure("d", 4)
    assert health.suspended(9)
    health.record_success()
    health.record_failure("e", 20)
    assert not health.suspended(20)


def test_a_lease_lapses_counted_with_the_slowest_clock():
    server = server_of("a")
    until = server.next_lease_end_ms(1.0)
    assert until == round((1.0 + LEASE_S) * 1_000)
    assert not server.leases_expired(1.0 + LEASE_S)
    assert server.leases_expired((1.0 + LEASE_S) / 0.98 + 0.2)


def test_a_start_that_reached_the_next_lifetime_has_the_longest_lease():
    server = server_of("i-0")
    step = step_of(cpu_millis=1_000)
    server.next_lease_end_ms(0.0)
    server.add(Run(step.tasks[0], 1, server, step.demand, "c", placed_at=0.0))
    server.begin_lifetime(2)
    server.update_from_report(ServerReport(50, 2, [], []), 1.0)
    assert not server.leases_expired(1.0 + 9.9)
    assert server.leases_expired(1.0 + LONGEST_LEASE_MS / 1_000 / 0.98 + 0.2)


def test_a_new_lifetime_that_nothing_was_sent_to_has_no_lease():
    server = server_of("i-0")
    server.next_lease_end_ms(0.0)
    server.begin_lifetime(2)
    server.update_from_report(ServerReport(50, 2, [], []), 1.0)
    assert server.leases_expired(1.2)


def test_a_server_that_reported_long_ago_gets_nothing_new():
    server = server_of("a")
    assert server.accepts_new_runs(1.0)
    assert not server.accepts_new_runs(4.0)


def test_an_entry_may_be_missing_for_a_moment_after_an_outage():
    server = server_of("a")
    server.missing_since = 0.0
    assert server.accepts_new_runs(2.0)
    assert not server.accepts_new_runs(2.5)


@given(
    free=st.builds(Resources, st.integers(-9, 99), st.integers(0, 99)),
    demand=st.builds(Resources, st.integers(0, 20), st.integers(0, 20)),
    most=st.integers(0, 9),
)
def test_what_is_said_to_fit_fits(free: Resources, demand: Resources, most: int):
    count = fitting_tasks(free, demand, most)
    assert 0 <= count <= most
    if count:
        assert (demand * count).fits(free)


def test_small_tasks_go_where_least_is_left_over():
    step = step_of(cpu_millis=1_000)
    servers = [server_of("empty"), server_of("full", used=12_000)]
    chosen = choose_servers(step, find_candidates(step, servers, None, 4), 4)
    assert {server.server_id for server in chosen} == {"full"}


def test_no_more_of_a_step_than_allowed_on_one_server():
    step = step_of(cpu_millis=100, most_per_server=1)
    servers = [server_of("a"), server_of("b")]
    chosen = choose_servers(step, find_candidates(step, servers, None, 4), 4)
    assert [server.server_id for server in chosen] == ["a", "b"]


def test_labels_tickets_and_racks_are_kept_to():
    servers = [server_of("a", rack="r1-0"), server_of("b", rack="r1-1")]
    labelled = step_of(label="r1-1")
    found = find_candidates(labelled, servers, None, 4)
    assert [each.server.server_id for each in found] == ["b"]
    assert find_candidates(step_of(), servers, {"a": "t"}, 4)[0].server is servers[0]
    near = step_of(cpu_millis=1_000, rack="r1-1")
    chosen = choose_servers(near, find_candidates(near, servers, None, 4), 4)
    assert {server.server_id for server in chosen} == {"b"}


def test_tasks_that_want_one_rack_get_one_where_it_has_room():
    servers = [
        server_of("a", rack="r1", used=14_000),
        server_of("b", rack="r2"),
        server_of("c", rack="r2"),
    ]
    step = step_of(cpu_millis=6_000, same_rack=True)
    chosen = choose_servers(step, find_candidates(step, servers, None, 4), 4)
    assert {server.entry.rack for server in chosen} == {"r2"}


def test_servers_where_the_step_failed_come_last():
    step = step_of(cpu_millis=1_000)
    step.avoided_servers.add("full")
    servers = [server_of("empty"), server_of("full", used=12_000)]
    chosen = choose_servers(step, find_candidates(step, servers, None, 4), 4)
    assert {server.server_id for server in chosen} == {"empty"}


def test_a_cap_counts_what_runs_and_0_means_no_limit():
    usage = CustomerUsage()
    customer = Customer("c", cap=Resources(10_000, 0))
    usage.add("c", Resources(4_000, 999_999))
    assert usage.count_within_cap(customer, Resources(2_500, 1), 9) == 2
    usage.remove("c", Resources(4_000, 999_999))
    assert usage.count_within_cap(customer, Resources(2_500, 1), 9) == 4
    assert usage.count_within_cap(None, Resources(2_500, 1), 9) == 9


def test_a_lowered_cap_far_below_what_runs_leaves_no_room():
    usage = CustomerUsage()
    usage.add("c", Resources(9_000))
    assert (
        usage.count_within_cap(Customer("c", cap=Resources(1_000)), Resources(1), 5)
        == 0
    )


def test_the_chain_of_a_job_adds_steps_that_follow_each_other():
    steps = (
        StepSpec(count=1, estimate_s=2),
        StepSpec(count=1, estimate_s=3),
        StepSpec(count=1, estimate_s=1, after=(0,)),
    )
    spec = JobSpec("0" * 16, QUEUE, "c", "x", steps, 0.0)
    assert critical_path_s(spec, QUEUE, 1_000_000) == 3
    job = Job(spec, 1, 3)
    assert remaining_critical_path_s(job, job.steps[0, 0]) == 3
    assert objective_of(spec, QUEUE, 1_000_000, 10.0).due_at == 10 + 4 * 3 + 3


@pytest.mark.parametrize(
    ("now", "expected"),
    [
        (0.0, DeadlineStatus.ON_TIME),
        (12.0, DeadlineStatus.LATE),
        (40.0, DeadlineStatus.WORTHLESS),
    ],
)
def test_what_a_job_can_still_reach(now: float, expected: DeadlineStatus):
    spec = JobSpec("0" * 16, QUEUE, "c", "x", (StepSpec(count=1, estimate_s=2),), 0.0)
    objective = objective_of(spec, QUEUE, 1_000_000, 0.0)
    assert deadline_status(objective, 2.0, now) is expected


def test_a_customer_beyond_its_share_is_told_apart():
    meter = ShareMeter()
    burst = [meter.record_submission("hot", 2.0, 0.0) for _ in range(5)]
    assert burst == [False, False, True, True, True]
    assert not meter.record_submission("hot", 2.0, 1.0)
    assert not meter.record_submission("calm", 2.0, 0.0)


def test_a_run_without_progress_stands_still():
    progress = RunProgress()
    progress.record(40, 0.0)
    assert not progress.stalled(0.8, 1.0)
    assert progress.stalled(0.9, 1.0)
    progress.record(41, 1.0)
    assert not progress.stalled(1.5, 1.0)


def test_a_long_task_may_show_no_progress_for_a_while():
    progress = RunProgress()
    progress.record(40, 0.0)
    assert not progress.stalled(2.0, 100.0)


def test_a_run_far_below_its_own_best_pace_is_better_moved():
    progress = RunProgress()
    percent, now = 0.0, 0.0
    for gain in (0, 10, 10, 1.2, 1.2):
        percent += gain
        now += 0.5
        progress.record(percent, now)
        progress.sample(now, 5.0)
    assert progress.should_move(5.0)


def test_a_task_whose_estimate_is_off_is_left_alone():
    progress = RunProgress()
    percent, now = 0.0, 0.0
    for _ in range(6):
        percent += 2
        now += 0.5
        progress.record(percent, now)
        progress.sample(now, 5.0)
    assert not progress.should_move(5.0)


def test_the_pace_of_a_server_follows_its_runs():
    speed = ServerSpeed()
    for _ in range(8):
        speed.record(0.15)
    assert speed.slow
    for _ in range(20):
        speed.record(1.25)
    assert speed.fast
