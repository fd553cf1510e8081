"""Preemption: makes room for urgent work by checkpointing normal batch tasks."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import islice

from cassiaweir.placement._fleet import Fleet
from cassiaweir.placement._records import (
    JobRecord,
    ResourceSum,
    RunningTask,
    TeamRecord,
    VmRecord,
)
from cassiaweir.placement._types import VmCondition
from cassiaweir.types import Resources, TaskId

CLAIM_TIMEOUT_SECONDS = 30.0
# A claim examines this many VMs, and one more for each task it needs room for.
MAX_CANDIDATE_VMS = 16
MAX_OWN_TASKS_EXAMINED = 64
MAX_CHECKPOINTS_PER_TASK = 3
# Beyond this many tasks, the count of the task checkpointed longest ago is dropped.
MAX_CHECKPOINT_COUNTS = 4096
# Within a window a team may lose this fraction of its running tasks, or this minimum
# if it is more.
TEAM_WINDOW_SECONDS = 60.0
MIN_TEAM_CHECKPOINT_LIMIT = 8
TEAM_CHECKPOINT_FRACTION = 1.0


@dataclass(slots=True, eq=False)
class Claim:
    """Room on VMs, set aside for tasks of an urgent job while victims checkpoint.

    `vms` has the VM of each claimed task index, `pending` the victims that still run.
    """

    job: JobRecord
    vms: dict[int, VmRecord]
    pending: dict[TaskId, RunningTask]
    expires_at: float


@dataclass(slots=True)
class _PreemptionOption:
    """Victims that would make room for `slots` urgent tasks on a VM.

    `lost_work` is their CPU time since they started, in thousandths of a core times
    seconds.
    """

    vm: VmRecord
    slots: int
    lost_work: float
    victims: list[RunningTask]


@dataclass(slots=True)
class _TeamWindow:
    """How many tasks of a team were chosen as victims since `began_at`."""

    began_at: float = -TEAM_WINDOW_SECONDS
    count: int = 0


@dataclass(slots=True)
class Preemptor:
    """Chooses victims with the least lost work, and keeps the claims on their room.

    The number of checkpoints is limited for each task, and for each team within a
    window of time.
    """

    _fleet: Fleet
    claims: dict[int, Claim] = field(default_factory=dict)
    _claim_by_victim: dict[TaskId, Claim] = field(default_factory=dict)
    _checkpoints: OrderedDict[TaskId, int] = field(default_factory=OrderedDict)
    _windows: dict[str, _TeamWindow] = field(default_factory=dict)

    def claim(self, job: JobRecord, now: float) -> Claim | None:
        """Claim room for the tasks of `job` that start next, or return None.

        These are all waiting tasks of a gang, and one task of a batch run or a service.
        """
        size, need = job.group.size, job.needed_at_once
        vms: list[VmRecord] = []
        victims: list[RunningTask] = []
        for option in self._options(job, need, now):
            left = need - len(vms)
            if option.slots > left:
                option = self._option_on(option.vm, size, left, now) or option
            vms += [option.vm] * min(option.slots, left)
            victims += option.victims
            if len(vms) == need:
                return self._open_claim(job, vms, victims, now)
        return None

    def claim_within_team(self, job: JobRecord, now: float) -> Claim | None:
        """Claim room for one task of `job` from its team, which is at its allotment."""
        if job.gang:
            return None
        options = [
            option
            for vm in _vms_of_team(job.team)
            if (option := self._own_team_option(vm, job, now)) is not None
        ]
        if not options:
            return None
        best = min(options, key=lambda option: option.lost_work)
        return self._open_claim(job, [best.vm], best.victims, now)

    def victim_ended(self, task: TaskId) -> None:
        """Record the end of a task, which may or may not be the victim of a claim."""
        claim = self._claim_by_victim.pop(task, None)
        if claim is not None:
            claim.pending.pop(task, None)

    def ready_claims(self, now: float) -> list[Claim]:
        """Return the claims whose victims have all ended, and those that expired."""
        return [
            claim
            for claim in self.claims.values()
            if not claim.pending or claim.expires_at <= now
        ]

    def close(self, claim: Claim) -> None:
        """Release the room set aside; victims that still run may be chosen again."""
        self.claims.pop(id(claim), None)
        size, team = claim.job.group.size, claim.job.team
        for vm in claim.vms.values():
            self._fleet.claim_room(vm, size, -1)
        team.claimed_room.add(size, -len(claim.vms))
        for victim in claim.pending.values():
            self._claim_by_victim.pop(victim.task, None)
            self._fleet.mark_stopping(victim, stopping=False)

    def close_all_of(self, job: JobRecord) -> None:
        """Close all claims of `job`."""
        for claim in [claim for claim in self.claims.values() if claim.job is job]:
            self.close(claim)

    def _open_claim(
        self,
        job: JobRecord,
        vms: list[VmRecord],
        victims: list[RunningTask],
        now: float,
    ) -> Claim:
        size = job.group.size
        indexes = list(job.waiting)[: len(vms)]
        claim = Claim(
            job,
            dict(zip(indexes, vms, strict=True)),
            {victim.task: victim for victim in victims},
            now + CLAIM_TIMEOUT_SECONDS,
        )
        self.claims[id(claim)] = claim
        job.team.claimed_room.add(size, len(vms))
        for victim in victims:
            self._claim_by_victim[victim.task] = claim
            self._fleet.mark_stopping(victim)
            self._record_checkpoint(victim, now)
        for vm in vms:
            self._fleet.claim_room(vm, size)
        return claim

    def _options(
        self, job: JobRecord, need: int, now: float
    ) -> list[_PreemptionOption]:
        """Return options on some VMs, least lost work per slot first."""
        size = job.group.size
        able = (
            vm
            for vm in self._fleet.reclaimable.roomiest(size)
            if vm.condition is VmCondition.OPEN
        )
        candidates = islice(able, MAX_CANDIDATE_VMS + need)
        options = []
        for vm in candidates:
            slots = min(need, vm.reclaimable.slots(size))
            option = self._option_on(vm, size, slots, now) if slots else None
            if option is not None:
                options.append(option)
        options.sort(key=lambda option: option.lost_work / option.slots)
        return options

    def _option_on(
        self, vm: VmRecord, size: Resources, slots: int, now: float
    ) -> _PreemptionOption | None:
        """Return victims with little lost work that make room for `slots` tasks."""
        wanted = size * slots
        room = ResourceSum()
        room.add(vm.free.resources())
        victims: list[RunningTask] = []
        for task in self._preemptible_tasks(vm, now):
            if room.holds(wanted):
                break
            room.add(task.job.group.size)
            victims.append(task)
        if not room.holds(wanted):
            return None
        victims = _prune_victims(victims, room, wanted)
        return _PreemptionOption(vm, slots, _total_lost_work(victims, now), victims)

    def _own_team_option(
        self, vm: VmRecord, job: JobRecord, now: float
    ) -> _PreemptionOption | None:
        """Return victims of the job's team that make room on `vm` and in the allotment.

        The room is for one task.
        """
        size, team = job.group.size, job.team
        if vm.condition is not VmCondition.OPEN or vm.reserved or vm.removed:
            return None
        freed = Resources()
        victims: list[RunningTask] = []
        for task in self._preemptible_tasks(vm, now):
            if task.job.team is not team:
                continue
            freed = freed + task.job.group.size
            victims.append(task)
            if team.allows(size - freed) and size.fits(vm.free.resources() + freed):
                return _PreemptionOption(vm, 1, _total_lost_work(victims, now), victims)
        return None

    def _preemptible_tasks(self, vm: VmRecord, now: float) -> list[RunningTask]:
        """Return the tasks on `vm` that may be checkpointed, least lost work first."""
        tasks = [
            task
            for task in vm.tasks.values()
            if task.preemptible and self._may_checkpoint(task, now)
        ]
        tasks.sort(key=lambda task: _lost_work(task, now))
        return tasks

    def _may_checkpoint(self, task: RunningTask, now: float) -> bool:
        if self._checkpoints.get(task.task, 0) >= MAX_CHECKPOINTS_PER_TASK:
            return False
        team = task.job.team
        window = self._windows.get(team.name)
        if window is None or now - window.began_at >= TEAM_WINDOW_SECONDS:
            return True
        return window.count < _checkpoint_limit(team)

    def _record_checkpoint(self, victim: RunningTask, now: float) -> None:
        count = self._checkpoints.pop(victim.task, 0)
        self._checkpoints[victim.task] = count + 1
        if len(self._checkpoints) > MAX_CHECKPOINT_COUNTS:
            self._checkpoints.popitem(last=False)
        window = self._windows.setdefault(victim.job.team.name, _TeamWindow())
        if now - window.began_at >= TEAM_WINDOW_SECONDS:
            window.began_at, window.count = now, 0
        window.count += 1


def _checkpoint_limit(team: TeamRecord) -> float:
    return max(MIN_TEAM_CHECKPOINT_LIMIT, TEAM_CHECKPOINT_FRACTION * team.tasks)


def _vms_of_team(team: TeamRecord) -> list[VmRecord]:
    """Return the VMs of some running tasks of the team's preemptible jobs."""
    tasks = (
        task
        for job in team.jobs.values()
        if job.preemptible
        for task in job.running.values()
    )
    return list(
        {t.vm.name: t.vm for t in islice(tasks, MAX_OWN_TASKS_EXAMINED)}.values()
    )


def _total_lost_work(victims: list[RunningTask], now: float) -> float:
    return sum(_lost_work(task, now) for task in victims)


def _lost_work(task: RunningTask, now: float) -> float:
    """Return the CPU time since the start, in thousandths of a core times seconds."""
    return (now - task.started_at) * task.job.group.size.cpu_millis


def _prune_victims(
    victims: list[RunningTask], room: ResourceSum, wanted: Resources
) -> list[RunningTask]:
    """Return `victims` without those whose room is not needed.

    `room` includes the room of all victims.  Those with the most lost work are dropped
    first.
    """
    kept = []
    for task in reversed(victims):
        room.add(task.job.group.size, -1)
        if not room.holds(wanted):
            room.add(task.job.group.size)
            kept.append(task)
    return kept
