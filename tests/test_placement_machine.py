"""A state machine that checks the invariants of `FairPlanner`."""

from dataclasses import dataclass, field, replace

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from cassiaweir.placement import FairPlanner, TaskGroup, VmCondition, VmOffer
from cassiaweir.types import JobKind, Resources, TaskId, TaskState, Urgency

TEAMS = ("a", "b", "c")
SHAPES = (Resources(4000, 8192), Resources(8000, 8192, 2))
SIZES = (
    Resources(500, 512),
    Resources(1000, 3000),
    Resources(2000, 1024, 1),
    Resources(4000, 8192),
)
ALLOTMENTS = (Resources(2000, 4096, 1), Resources(9000, 16_384, 2), SHAPES[1] * 9)
ROUNDS_TO_DRAIN = 400


@dataclass
class Run:
    """A running task in the model."""

    group: TaskGroup
    vm: str
    stopping: bool = False


@dataclass
class Model:
    """Waiting and running tasks as they should be, independent of the planner."""

    waiting: dict[str, set[int]] = field(default_factory=dict)
    groups: dict[str, TaskGroup] = field(default_factory=dict)
    running: dict[TaskId, Run] = field(default_factory=dict)
    vms: dict[str, tuple[VmOffer, VmCondition]] = field(default_factory=dict)
    allotments: dict[str, Resources] = field(default_factory=dict)

    def used_on_vm(self, vm: str) -> Resources:
        sizes = [run.group.size for run in self.running.values() if run.vm == vm]
        return sum(sizes, Resources())

    def used_by_team(self, team: str) -> Resources:
        runs = [run for run in self.running.values() if run.group.team == team]
        return sum((run.group.size for run in runs), Resources())

    def demand_of(self, team: str) -> Resources:
        waiting = (
            self.groups[job].size * len(indexes)
            for job, indexes in self.waiting.items()
            if self.groups[job].team == team
        )
        return sum(waiting, self.used_by_team(team))


class PlannerMachine(RuleBasedStateMachine):
    """Calls the planner in any order and compares it with the model."""

    def __init__(self) -> None:
        super().__init__()
        self.planner = FairPlanner()
        self.model = Model()
        self.now = 0.0
        self.jobs = 0
        for team in TEAMS:
            self.set_team(team, 1, ALLOTMENTS[-1])

    @rule(
        team=st.sampled_from(TEAMS),
        share=st.integers(0, 4),
        allotment=st.sampled_from(ALLOTMENTS),
    )
    def set_team(self, team, share, allotment):
        self.planner.set_team(team, share, allotment)
        self.model.allotments[team] = allotment

    @rule(
        number=st.integers(0, 5),
        shape=st.sampled_from(SHAPES),
        condition=st.sampled_from(VmCondition),
    )
    def set_vm(self, number, shape, condition):
        name = f"vm{number}"
        if name in self.model.vms:
            shape = self.model.vms[name][0].capacity
        offer = VmOffer(name, "augusta", f"rack{number % 2}", shape)
        self.planner.set_vm(offer, condition)
        self.model.vms[name] = (offer, condition)

    @rule(number=st.integers(0, 5))
    def remove_vm(self, number):
        name = f"vm{number}"
        if any(run.vm == name for run in self.model.running.values()):
            return
        self.planner.remove_vm(name)
        self.model.vms.pop(name, None)

    @rule(
        team=st.sampled_from(TEAMS),
        kind=st.sampled_from(JobKind),
        urgency=st.sampled_from(Urgency),
        size=st.sampled_from(SIZES),
        tasks=st.integers(1, 5),
        declared=st.sampled_from((0.0, 5.0, 300.0)),
    )
    def submit(self, team, kind, urgency, size, tasks, declared):
        self.jobs += 1
        job, indexes = f"j{self.jobs}", tuple(range(tasks))
        group = TaskGroup(job, team, kind, urgency, size, indexes, self.now, declared)
        self.planner.enqueue(group)
        self.model.groups[job] = group
        self.model.waiting[job] = set(indexes)

    @precondition(lambda self: self.model.groups)
    @rule(data=st.data())
    def enqueue_again(self, data):
        job = data.draw(st.sampled_from(sorted(self.model.groups)))
        group = self.model.groups[job]
        self.planner.enqueue(group)
        running = {t.index for t in self.model.running if t.job == job}
        self.model.waiting[job] |= set(group.indexes) - running

    @precondition(lambda self: self.model.groups)
    @rule(data=st.data())
    def cancel(self, data):
        job = data.draw(st.sampled_from(sorted(self.model.groups)))
        returned = self.planner.cancel(job)
        running = {(t, r.vm) for t, r in self.model.running.items() if t.job == job}
        assert set(returned) == running
        self.model.waiting[job] = set()

    @precondition(lambda self: self.model.running)
    @rule(data=st.data(), state=st.sampled_from([s for s in TaskState if s.ended]))
    def end(self, data, state):
        task = data.draw(st.sampled_from(sorted(self.model.running, key=str)))
        del self.model.running[task]
        self.planner.task_ended(task, state, self.now)

    @precondition(lambda self: self.model.running)
    @rule(data=st.data())
    def refuse(self, data):
        task = data.draw(st.sampled_from(sorted(self.model.running, key=str)))
        del self.model.running[task]
        self.planner.task_refused(task, self.now)
        self.model.waiting[task.job].add(task.index)

    @precondition(lambda self: self.model.running)
    @rule(data=st.data(), cpu=st.integers(0, 8000))
    def use(self, data, cpu):
        task = data.draw(st.sampled_from(sorted(self.model.running, key=str)))
        self.planner.task_usage(task, Resources(cpu, 100))

    @precondition(lambda self: self.model.vms and self.model.groups)
    @rule(data=st.data())
    def adopt(self, data):
        job = data.draw(st.sampled_from(sorted(self.model.groups)))
        vm = data.draw(st.sampled_from(sorted(self.model.vms)))
        group = self.model.groups[job]
        task = TaskId(job, data.draw(st.sampled_from(group.indexes)))
        self.planner.adopt(group, task, vm, self.now - 1)
        self.model.waiting[job].discard(task.index)
        self.model.running.setdefault(task, Run(group, vm))

    @rule(seconds=st.sampled_from((0.1, 3.0, 130.0)), most=st.integers(1, 12))
    def plan(self, seconds, most):
        self.now += seconds
        plan = self.planner.plan(self.now, most)
        self._check_gangs(plan, most)
        for placement in plan.placements:
            self._start(placement)
        for preemption in plan.preemptions:
            self._checkpoint(preemption)

    def _check_gangs(self, plan, most):
        by_job: dict[str, set[int]] = {}
        for placement in plan.placements:
            by_job.setdefault(placement.task.job, set()).add(placement.task.index)
        for job, indexes in by_job.items():
            if self.model.groups[job].kind is JobKind.GANG:
                assert indexes == self.model.waiting[job]
        alone = len(by_job) == 1
        assert len(plan.placements) <= most or alone

    def _start(self, placement):
        task, vm = placement.task, placement.vm
        group = self.model.groups[task.job]
        assert task.index in self.model.waiting[task.job]
        offer, condition = self.model.vms[vm]
        assert condition in (VmCondition.OPEN, VmCondition.PROBATION)
        if condition is VmCondition.PROBATION:
            assert self.model.used_on_vm(vm) == Resources()
        self.model.waiting[task.job].remove(task.index)
        self.model.running[task] = Run(group, vm)
        assert self.model.used_on_vm(vm).fits(offer.capacity)
        assert self.model.used_by_team(group.team).fits(
            self.model.allotments[group.team]
        )

    def _checkpoint(self, preemption):
        run = self.model.running[preemption.task]
        assert run.vm == preemption.vm
        assert run.group.kind is JobKind.BATCH
        assert run.group.urgency is Urgency.NORMAL
        run.stopping = True

    @precondition(lambda self: any(r.stopping for r in self.model.running.values()))
    @rule()
    def confirm_checkpoints(self):
        stopping = [t for t, run in self.model.running.items() if run.stopping]
        for task in stopping:
            run = self.model.running.pop(task)
            self.planner.task_ended(task, TaskState.CHECKPOINTED, self.now)
            self.planner.enqueue(replace(run.group, indexes=(task.index,)))
            self.model.waiting[task.job].add(task.index)

    @invariant()
    def totals_match_the_model(self):
        for team in TEAMS:
            assert self.planner.allocated(team) == self.model.used_by_team(team)
            assert self.planner.demand(team) == self.model.demand_of(team)

    @invariant()
    def excess_brings_a_team_within_its_limit(self):
        for team in TEAMS:
            stop = dict(self.planner.excess_tasks(team))
            left = self.model.used_by_team(team)
            assert not stop or not left.fits(self.model.allotments[team])
            for task in stop:
                left = left - self.model.running[task].group.size
            assert left.fits(self.model.allotments[team])

    def teardown(self):
        """Check that without submissions all jobs that fit start.

        They have to start within `ROUNDS_TO_DRAIN` rounds.
        """
        for number in range(6):
            self.set_vm(number, SHAPES[1], VmCondition.OPEN)
        for team in TEAMS:
            self.set_team(team, 1, Resources(10**9, 10**9, 10**6))
        for _ in range(ROUNDS_TO_DRAIN):
            self.plan(3.0, 50)
            for task in list(self.model.running):
                del self.model.running[task]
                self.planner.task_ended(task, TaskState.SUCCEEDED, self.now)
            if not any(self.model.waiting.values()):
                break
        capacities = [offer.capacity for offer, _ in self.model.vms.values()]
        for job, indexes in self.model.waiting.items():
            assert not indexes or not _fits_empty(self.model.groups[job], capacities)


def _fits_empty(group: TaskGroup, capacities: list[Resources]) -> bool:
    need = len(group.indexes) if group.kind is JobKind.GANG else 1
    slots = 0
    for capacity in capacities:
        while group.size.fits(capacity):
            capacity = capacity - group.size
            slots += 1
    return slots >= need


PlannerMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
TestPlannerMachine = PlannerMachine.TestCase
