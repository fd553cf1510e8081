"""Tests of how interference between kinds of tasks is found and avoided."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import replace
from statistics import fmean
from typing import Any, cast

import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from click.testing import CliRunner

from cassiaweir.clock import ManualClock
from cassiaweir.cmdline import main
from cassiaweir.composition._interference_pages import (
    InterferenceAnswer,
    InterferencePages,
    render_pairs,
)
from cassiaweir.dispatch import RunningTask, ServerReport, _placer
from cassiaweir.dispatch._interference import InterferenceSampler
from cassiaweir.dispatch._placement import (
    choose_servers,
    find_candidates,
    with_interference,
)
from cassiaweir.dispatch._runs import Run, RunState
from cassiaweir.dispatch._server import Server
from cassiaweir.jobs import Step, StepSpec
from cassiaweir.observe import Metrics
from cassiaweir.observe._metrics_server import MetricsServer
from cassiaweir.scheduling import InterferenceModel, SiblingRates
from cassiaweir.scheduling._interference import MAX_KINDS, MAX_PAIRS, MAX_PLACES
from lab._interference_load import Conditions, Fleet
from lab.interference import (
    CALM_SCENARIOS,
    false_alarms,
    find_pair,
    mean_delay_s,
)
from tests.site_fakes import FakeSite, FakeVm
from tests.test_dispatch_parts import server_of, step_of
from tests.virtual_time import run_virtual

VICTIM, CAUSE, BYSTANDER = "recon/a", "recon/b", "recon/c"
Beside = Callable[[random.Random], list[str]]


def half_beside_cause(rng: random.Random) -> list[str]:
    return [CAUSE] if rng.random() < 0.5 else []


def feed(
    model: InterferenceModel,
    *,
    seed: int = 1,
    samples: int = 300,
    beside: Beside = half_beside_cause,
    rates: Mapping[str, float] | None = None,
    servers: int = 20,
    server_rates: Mapping[int, float] | None = None,
    begin_s: float = 0.0,
) -> None:
    """Record samples of `VICTIM` over 10 s, slowed down by kinds and by servers."""
    rng = random.Random(seed)
    rates = {CAUSE: 0.5} if rates is None else rates
    for number in range(samples):
        others, server = beside(rng), rng.randrange(servers)
        ratio = rng.lognormvariate(0, 0.25) * (server_rates or {}).get(server, 1.0)
        for other in others:
            ratio *= rates.get(other, 1.0)
        at = begin_s + number * 10 / samples
        model.record(VICTIM, others, ratio, at, weight=0.5, server_id=f"i-{server}")


def taught(**options: Any) -> InterferenceModel:
    model = InterferenceModel()
    feed(model, **options)
    return model


def found(model: InterferenceModel) -> list[tuple[str, str]]:
    return [(each.kind, each.beside) for each in model.pairs() if each.found]


# Guards against a pair that is not found, or with a wrong strength or direction.
def test_pair_that_halves_the_rate_is_found_with_its_slowdown():
    model = taught()
    assert found(model) == [(VICTIM, CAUSE)]
    assert model.slowdown(VICTIM, CAUSE) == pytest.approx(2.0, rel=0.2)
    assert model.slowdown(CAUSE, VICTIM) == 1.0
    assert model.penalty(VICTIM, [CAUSE]) == model.penalty(CAUSE, [VICTIM]) > 0.5


# Guards against blaming a kind that only often runs where the cause does.
@pytest.mark.parametrize("seed", range(5))
def test_kind_that_accompanies_the_cause_is_not_blamed(seed: int):
    def beside(rng: random.Random) -> list[str]:
        if rng.random() < 0.5:
            return [CAUSE, BYSTANDER] if rng.random() < 0.8 else [CAUSE]
        return [BYSTANDER] if rng.random() < 0.2 else []

    model = taught(seed=seed, beside=beside, samples=1_000)
    assert found(model) == [(VICTIM, CAUSE)]


# Guards against blaming the company of tasks for a server that is slow for everyone.
@pytest.mark.parametrize("seed", range(5))
def test_slow_server_on_which_a_kind_often_runs_is_no_pair(seed: int):
    rng = random.Random(seed)
    model = InterferenceModel()
    for number in range(2_000):
        server = rng.randrange(8)
        often = 0.9 if server == 0 else 0.2
        others = [CAUSE] if rng.random() < often else []
        ratio = rng.lognormvariate(0, 0.25) * (0.4 if server == 0 else 1.0)
        model.record(VICTIM, others, ratio, number / 50, server_id=f"i-{server}")
    assert not found(model)


# Guards against blaming a kind that more often runs on full servers, if all are slow.
def test_full_servers_that_are_slow_for_all_are_no_pair():
    rng = random.Random(3)
    model = InterferenceModel()
    for number in range(2_000):
        full = rng.random() < 0.5
        others = [CAUSE] if rng.random() < (0.8 if full else 0.2) else []
        ratio = rng.lognormvariate(0, 0.25) * (0.6 if full else 1.0)
        server_id = f"i-{rng.randrange(20)}"
        model.record(VICTIM, others, ratio, number / 50, server_id=server_id, full=full)
    assert not found(model)


# Guards against false alarms when many pairs are looked at again and again.
@pytest.mark.parametrize("seed", range(3))
def test_nothing_is_found_among_many_pairs_over_ten_minutes(seed: int):
    rng = random.Random(seed)
    model = InterferenceModel()
    kinds = [f"q/{number}" for number in range(12)]
    for number in range(20_000):
        others = rng.sample(kinds, rng.randrange(6))
        ratio = rng.lognormvariate(0, 0.3)
        server_id = f"i-{rng.randrange(30)}"
        model.record(
            rng.choice(kinds), others, ratio, number * 0.03, server_id=server_id
        )
    assert not found(model)


# Guards against a pair that is kept for ever, and one that is forgotten at once.
def test_pair_without_new_samples_is_gone_after_minutes():
    changes = []
    model = InterferenceModel(lambda: changes.append(model.found_count))
    feed(model)
    model.age(60.0)
    assert found(model)
    model.age(900.0)
    assert not found(model)
    assert changes == [1, 0]


# Guards against a pair that stays reported although its tasks are no longer slow.
def test_pair_that_no_longer_interferes_is_gone():
    model = taught()
    for minute in range(1, 8):
        feed(model, rates={}, begin_s=60.0 * minute)
    assert not found(model)


# Guards against growth of the model with the number of kinds, servers and steps.
def test_size_is_bounded():
    rng = random.Random(1)
    model, rates = InterferenceModel(), SiblingRates()
    for number in range(20_000):
        kind, other = f"q/{rng.randrange(300)}", f"q/{rng.randrange(300)}"
        server_id = f"i-{rng.randrange(6_000)}"
        model.record(kind, [other], 1.0, number * 0.01, server_id=server_id)
        rates.record(f"{number}.0.0", server_id, 0.0, 0.5, [other])
    pairs = model.pairs()
    assert len(pairs) <= MAX_PAIRS
    assert len({each.kind for each in pairs}) <= MAX_KINDS
    assert len(rates) <= 2_048
    places = [len(each.places) for each in model._all_pairs()]
    assert max(places) <= 2 * MAX_PLACES


# Guards against a model that stays closed to new kinds once it was full.
def test_kinds_that_are_no_longer_seen_make_place_for_new_ones():
    model = InterferenceModel()
    for number in range(MAX_KINDS):
        model.record(f"old/{number}", [], 1.0, 0.0)
    model.record("new", ["new"], 1.0, 10.0)
    assert not model.pairs()
    model.record("new", ["new"], 1.0, 200.0)
    assert [each.kind for each in model.pairs()] == ["new"]


# Guards against a kind that gives no samples itself and is therefore forgotten.
def test_kind_that_only_runs_beside_others_stays_known():
    model = InterferenceModel()
    for second in range(200):
        others = [f"new/{second}"] if second % 2 else ["gang"]
        model.record(VICTIM, others, 1.0, float(second))
    tasks = {each.beside: each.tasks for each in model.pairs()}
    assert tasks["gang"] > 30


# Guards against a clear that leaves effects behind, or ends the learning.
def test_clear_forgets_all_pairs_and_they_are_learnt_again():
    model = taught()
    model.clear()
    assert not model.pairs()
    assert model.penalty(VICTIM, [CAUSE]) == 0
    feed(model, begin_s=20.0)
    assert found(model) == [(VICTIM, CAUSE)]


# Guards against errors, or a pair, from samples that are no numbers.
@pytest.mark.parametrize("ratio", [0.0, -1.0, float("nan")])
def test_invalid_ratio_is_ignored(ratio: float):
    model = InterferenceModel()
    model.record(VICTIM, [CAUSE], ratio, 0.0)
    assert not model.pairs()


class Samples:
    """Two servers with one task of a step each, and the samples that they give."""

    def __init__(self, **fields: object) -> None:
        self.clock = ManualClock()
        speeds = cast(Any, self)
        self.sampler = InterferenceSampler(speeds, self.clock, Metrics())
        self.ratios: list[tuple[tuple[str, ...], float]] = []
        self.sampler.model = cast(Any, self)
        self.step = step_of(cpu_millis=1_000, **fields)
        self.servers = [server_of("a"), server_of("b")]
        for server, task in zip(self.servers, self.step.tasks, strict=False):
            self.add(server, self.step, task.index)

    def known(self, server_id: str) -> bool:
        return True

    def speed(self, server_id: str) -> float:
        return 1.0

    def record(self, kind: str, others: set, ratio: float, *_: Any, **__: Any) -> None:
        self.ratios.append((tuple(others), round(ratio, 2)))

    def add(self, server: Server, step: Step, index: int = 0) -> Run:
        now = self.clock.monotonic()
        run = Run(step.tasks[index], 1, server, step.demand, "c", now)
        run.state = RunState.RUNNING
        server.add(run)
        return run

    def report(self, percents: tuple[int, int], seconds: float = 0.7) -> None:
        """Report the progress of both tasks, `seconds` after the last reports."""
        self.clock.advance(seconds)
        clock_ms = round(self.clock.monotonic() * 1_000)
        for server, percent in zip(self.servers, percents, strict=True):
            rows = [RunningTask(*key, "", percent, None) for key in server.runs]
            self.sampler.record_report(server, ServerReport(clock_ms, 1, rows, []))


# Guards against a ratio that is not that of the rates.
def test_rates_of_siblings_are_compared():
    samples = Samples()
    for percents in ((0, 0), (30, 15), (60, 30)):
        samples.report(percents)
    assert ((), 0.5) in samples.ratios
    assert ((), 2.0) in samples.ratios


# Guards against a slow sample from a report that was late or a leader that paused.
def test_report_after_a_gap_gives_no_sample():
    samples = Samples()
    samples.report((0, 0))
    samples.report((40, 5), seconds=1.6)
    assert not samples.ratios
    samples.report((80, 45))
    assert samples.ratios[-1] == ((), 1.0)


# Guards against samples of tasks whose progress says nothing about their server.
@pytest.mark.parametrize("fields", [{"gang": True}, {"long_running": True}])
def test_gangs_and_long_running_tasks_give_no_samples(fields: dict[str, object]):
    samples = Samples(**fields)
    for percents in ((0, 0), (40, 20), (80, 40)):
        samples.report(percents)
    assert not samples.ratios


# Guards against blaming a kind for the time before it came.
def test_sample_in_which_another_kind_came_late_is_dropped():
    samples = Samples()
    other = step_of(cpu_millis=1_000, image="b")
    samples.report((0, 0))
    samples.clock.advance(0.4)
    late = samples.add(samples.servers[1], other)
    samples.report((40, 40), seconds=0.3)
    assert samples.ratios == []
    samples.servers[1].remove(late.key)
    samples.report((80, 80))
    assert ((other.kind,), 1.0) in samples.ratios


def servers_beside(*kinds: str) -> list[Server]:
    """Return a server for each of `kinds`, on which a task of the kind runs."""
    servers = []
    for kind in kinds:
        server = server_of(f"beside-{kind}")
        step = step_of(cpu_millis=6_000, image=kind.removeprefix("recon/"))
        server.add(Run(step.tasks[0], 1, server, step.demand, "c", 0.0))
        servers.append(server)
    return servers


def chosen(
    model: InterferenceModel, servers: list[Server], count: int = 2, image: str = "a"
) -> list[str]:
    step = step_of(cpu_millis=5_000, image=image)
    candidates = find_candidates(step, servers, None, count)
    candidates = with_interference(step, candidates, model)
    return [each.server_id for each in choose_servers(step, candidates, count)]


# Guards against a task beside its cause, or a cause beside its victim, despite room.
def test_interfering_kinds_are_kept_apart_where_there_is_room():
    servers = [*servers_beside(CAUSE, VICTIM), server_of("empty")]
    model = taught()
    assert chosen(model, servers, 2, "a") == ["beside-recon/a"] * 2
    assert chosen(model, servers, 2, "b") == ["beside-recon/b"] * 2
    assert chosen(model, servers[:1] + servers[2:], 2, "a") == ["empty"] * 2


# Guards against tasks that wait because of interference while there is capacity.
def test_task_starts_beside_its_cause_if_there_is_no_other_room():
    assert chosen(taught(), servers_beside(CAUSE)) == ["beside-recon/b"] * 2


# Guards against tasks that wait in a full fleet beside servers with room for them.
def test_no_task_of_a_full_fleet_waits_because_of_interference():
    conditions = Conditions(load=2.0, factors={("batch/blend", "batch/sort"): 0.5})
    fleet = Fleet(1, conditions)
    fleet.run(20.0)
    assert ("batch/blend", "batch/sort") in fleet.found_at
    assert fleet.unplaced_rounds == 0


# Guards against a server with failures that is preferred because nothing interferes.
def test_failures_weigh_more_than_interference():
    bad, good = server_of("bad"), servers_beside(CAUSE)[0]
    bad.health.record_failure("job", 0.0)
    assert chosen(taught(), [bad, good]) == ["beside-recon/b"] * 2


# Guards against tasks of one step that slow each other down beside idle servers.
def test_tasks_that_interfere_among_themselves_are_spread():
    def beside(rng: random.Random) -> list[str]:
        return [VICTIM] if rng.random() < 0.5 else []

    model = taught(beside=beside, rates={VICTIM: 0.5})
    servers = [server_of("x"), server_of("y")]
    assert sorted(chosen(model, servers, 2)) == ["x", "y"]
    assert len(chosen(model, servers, 5)) == 5


# Guards against any change of placement while nothing is found.
def test_placement_is_unchanged_while_nothing_is_found():
    model = taught(rates={})
    servers = [*servers_beside(CAUSE, VICTIM), server_of("empty")]
    step = step_of(cpu_millis=1_000, image="a")
    candidates = find_candidates(step, servers, None, 4)
    assert with_interference(step, candidates, model) is candidates
    runs = [
        mean_delay_s(1, replace(Conditions(servers=12)), 30.0, avoid=avoid, rate=1.0)
        for avoid in (False, True)
    ]
    assert runs[0] == runs[1]


# Guards against a pair that is found too late, or another one in its place.
@pytest.mark.parametrize("seed", range(4))
def test_pair_is_found_within_ten_seconds_of_load(seed: int):
    result = find_pair(seed, Conditions(servers=176), 10.0)
    assert result.after_s is not None
    assert not result.wrong


# Guards against false alarms from slow and failing servers, wrong estimates, full
# servers, a paused leader and late reports.
@pytest.mark.parametrize("name", [each for each in CALM_SCENARIOS if each != "calm"])
@pytest.mark.parametrize("seed", range(2))
def test_nothing_is_found_where_nothing_interferes(seed: int, name: str):
    assert not false_alarms(seed, CALM_SCENARIOS[name], 15.0)


# Guards against learning that does not help the callers.
def test_jobs_of_the_slowed_kind_end_sooner_with_the_same_load():
    delays = {
        avoid: [mean_delay_s(seed, Conditions(), 40.0, avoid=avoid) for seed in (0, 2)]
        for avoid in (False, True)
    }
    for index in (0, 1):
        without, with_model = (
            fmean(each[index] for each in delays[avoid]) for avoid in (False, True)
        )
        assert with_model < without


async def play(site: FakeSite, seconds: float) -> None:
    """Submit jobs of both kinds for a while."""
    rng = random.Random(site.seed)
    victims = StepSpec(count=10, cpu_millis=1_500, estimate_s=1.0, image="a")
    causes = StepSpec(count=6, cpu_millis=4_000, estimate_s=1.0, image="b")
    ends_at = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < ends_at:
        site.submit(victims, task_s=rng.uniform(1.2, 1.8))
        if rng.random() < 0.7:
            site.submit(causes, task_s=rng.uniform(1.5, 2.5))
        await asyncio.sleep(0.5)


def mean_excess_s(site: FakeSite, image: str, since_s: float) -> float:
    """Return by how much runs that began after `since_s` took longer than alone."""
    excess_s = []
    for run in site.history:
        spec = site.specs[run.task.split(".")[0]]
        if run.began_at < since_s or spec.steps[0].image != image or not run.ended_at:
            continue
        alone_s = float(spec.task_spec.partition("/")[0])
        excess_s.append(run.ended_at - run.began_at - alone_s)
    return fmean(excess_s)


def pairs_of(vm: FakeVm) -> list[tuple[str, str]]:
    model = vm.term.interference
    assert model is not None
    return found(model)


# Guards against faults in the way from reports to placement, and a pair that a
# successor keeps or never learns.
def test_site_finds_and_avoids_a_pair_and_learns_it_again_after_a_takeover(
    monkeypatch: pytest.MonkeyPatch,
):
    excess_s = {}

    async def body(avoid: bool) -> None:
        site = FakeSite(servers=16)
        site.rates[VICTIM, CAUSE] = 0.5
        leader = await site.wait_for_leader()
        await play(site, 25)
        assert pairs_of(leader) == [(VICTIM, CAUSE)]
        began = asyncio.get_running_loop().time()
        await play(site, 10)
        excess_s[avoid] = mean_excess_s(site, "a", began)
        if avoid:
            await leader.kill()
            successor = await site.wait_for_leader()
            assert not pairs_of(successor)
            await play(site, 30)
            assert pairs_of(successor) == [(VICTIM, CAUSE)]
        assert not site.faults
        await site.close()

    run_virtual(lambda: body(True))
    monkeypatch.setattr(_placer, "with_interference", lambda step, found, model: found)
    run_virtual(lambda: body(False))
    assert excess_s[True] < 0.5 * excess_s[False]


class Source:
    """Provides a model, or none where this process does not lead."""

    def __init__(self, model: InterferenceModel | None) -> None:
        self.interference = model


def request(pages: InterferencePages, method: str) -> InterferenceAnswer:
    """Return the answer to a request to the metrics port."""
    server = MetricsServer("127.0.0.1:1", Metrics(), pages.by_request)
    req = make_mocked_request(method, "/debug/interference")
    response = cast(web.Response, asyncio.run(server._handle(req)))
    return msgspec.json.decode(cast(bytes, response.body), type=InterferenceAnswer)


# Guards against an operator who cannot see what was learnt, or cannot clear it.
def test_operator_lists_and_clears_pairs():
    model = taught()
    pages = InterferencePages(Source(model))
    listed = request(pages, "GET")
    assert [each.beside for each in listed.pairs if each.found] == [CAUSE]
    line = render_pairs(listed).splitlines()[1].split()
    assert line[:2] == [VICTIM, CAUSE]
    assert line[-1] == "yes"
    assert "cleared" in render_pairs(request(pages, "DELETE"))
    assert not found(model)


# Guards against an empty list that looks as if nothing interfered.
def test_process_that_does_not_lead_says_so():
    answer = request(InterferencePages(Source(None)), "DELETE")
    assert "does not lead" in render_pairs(answer)


# Guards against a trace in place of an error line.
def test_command_names_an_address_that_does_not_answer():
    command = ["debug", "interference", "--address", "127.0.0.1:1"]
    result = CliRunner().invoke(main, command)
    assert result.exit_code == 1
    assert result.output.startswith("cassiaweir: 127.0.0.1:1: ")
