"""Makes room for urgent work by checkpointing normal batch tasks."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import islice

from cassiaweir.placement._fleet import Fleet
from cassiaweir.placement._records import (
    Amounts,
    JobRecord,
    RunningTask,
    TeamRecord,
    VmRecord,
)
from cassiaweir.placement._types import VmCondition
from cassiaweir.types import Resources, TaskId

CLAIM_SECONDS = 30.0
MOST_CANDIDATES = 16
MOST_OWN_TASKS = 64
MOST_CHECKPOINTS_OF_TASK = 3
MOST_REMEMBERED_TASKS = 4096
TEAM_WINDOW_SECONDS = 60.0
FEWEST_OF_TEAM_IN_WINDOW = 8
SHARE_OF_TEAM_IN_WINDOW = 1.0


@dataclass(slots=True, eq=False)
class Claim:
    """Room that checkpoints are freeing for tasks of an urgent job.

    `vms` has the VM of each claimed index; `pending` the tasks still to end.
    """

    job: JobRecord
    vms: dict[int, VmRecord]
    pending: dict[TaskId, RunningTask]
    expires_at: float


@dataclass(slots=True)
class _Offer:
    """What it costs to hold `slots` urgent tasks on a VM, in millis by seconds."""

    vm: VmRecord
    slots: int
    lost: float
    victims: list[RunningTask]


@dataclass(slots=True)
class _TeamWindow:
    """How many tasks of a team were checkpointed since `began_at`."""

    began_at: float = -TEAM_WINDOW_SECONDS
    count: int = 0


@dataclass(slots=True)
class Preemptor:
    """Chooses victims, least lost work first, and keeps the claims on their room.

    A task is checkpointed a few times at most; a team loses no more than a part of
    its running tasks within a window.
    """

    _fleet: Fleet
    claims: dict[int, Claim] = field(default_factory=dict)
    _by_victim: dict[TaskId, Claim] = field(default_factory=dict)
    _checkpoints: OrderedDict[TaskId, int] = field(default_factory=OrderedDict)
    _windows: dict[str, _TeamWindow] = field(default_factory=dict)

    def claim(self, job: JobRecord, now: float) -> Claim | None:
        """Claim room for the next tasks of `job`, or return None if none is found.

        One task of a batch run or a service, all waiting tasks of a gang.
        """
        size, need = job.group.size, job.needed_at_once
        vms: list[VmRecord] = []
        victims: list[RunningTask] = []
        for offer in self._offers(job, need, now):
            left = need - len(vms)
            if offer.slots > left:
                offer = self._offer(offer.vm, size, left, now) or offer
            vms += [offer.vm] * min(offer.slots, left)
            victims += offer.victims
            if len(vms) == need:
                return self._open(job, vms, victims, now)
        return None

    def claim_within_team(self, job: JobRecord, now: float) -> Claim | None:
        """Claim room for one task of `job` from its own team, which is at its limit."""
        if job.gang:
            return None
        offers = [
            offer
            for vm in _vms_of_team(job.team)
            if (offer := self._own_offer(vm, job, now)) is not None
        ]
        if not offers:
            return None
        best = min(offers, key=lambda offer: offer.lost)
        return self._open(job, [best.vm], best.victims, now)

    def victim_ended(self, task: TaskId) -> None:
        """Note the end of a task, whether or not a claim waits for it."""
        claim = self._by_victim.pop(task, None)
        if claim is not None:
            claim.pending.pop(task, None)

    def ready(self, now: float) -> list[Claim]:
        """Return the claims whose room is free, and those that waited too long."""
        return [
            claim
            for claim in self.claims.values()
            if not claim.pending or claim.expires_at <= now
        ]

    def close(self, claim: Claim) -> None:
        """Give up the promised room; tasks that still run may be chosen again."""
        self.claims.pop(id(claim), None)
        size, team = claim.job.group.size, claim.job.team
        for vm in claim.vms.values():
            self._fleet.promise(vm, size, -1)
        team.promised.add(size, -len(claim.vms))
        for victim in claim.pending.values():
            self._by_victim.pop(victim.task, None)
            self._fleet.mark_stopping(victim, stopping=False)

    def close_all_of(self, job: JobRecord) -> None:
        """Give up all claims of `job`."""
        for claim in [claim for claim in self.claims.values() if claim.job is job]:
            self.close(claim)

    def _open(
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
            now + CLAIM_SECONDS,
        )
        self.claims[id(claim)] = claim
        job.team.promised.add(size, len(vms))
        for victim in victims:
            self._by_victim[victim.task] = claim
            self._fleet.mark_stopping(victim)
            self._note_checkpoint(victim, now)
        for vm in vms:
            self._fleet.promise(vm, size)
        return claim

    def _offers(self, job: JobRecord, need: int, now: float) -> list[_Offer]:
        """Return what some VMs could give, least lost work for a slot first."""
        size = job.group.size
        able = (
            vm
            for vm in self._fleet.reclaimable.roomiest(size)
            if vm.condition is VmCondition.OPEN
        )
        candidates = islice(able, MOST_CANDIDATES + need)
        offers = []
        for vm in candidates:
            slots = min(need, vm.reclaimable.slots(size))
            offer = self._offer(vm, size, slots, now) if slots else None
            if offer is not None:
                offers.append(offer)
        offers.sort(key=lambda offer: offer.lost / offer.slots)
        return offers

    def _offer(
        self, vm: VmRecord, size: Resources, slots: int, now: float
    ) -> _Offer | None:
        """Return the cheapest victims on `vm` that make room for `slots` tasks."""
        wanted = size * slots
        room = Amounts()
        room.add(vm.free.resources())
        victims: list[RunningTask] = []
        for task in self._cheapest(vm, now):
            if room.holds(wanted):
                break
            room.add(task.job.group.size)
            victims.append(task)
        if not room.holds(wanted):
            return None
        victims = _needed(victims, room, wanted)
        return _Offer(vm, slots, _lost(victims, now), victims)

    def _own_offer(self, vm: VmRecord, job: JobRecord, now: float) -> _Offer | None:
        """Return victims on `vm` that make room there and in the team's allotment."""
        size, team = job.group.size, job.team
        if vm.condition is not VmCondition.OPEN or vm.held or vm.removed:
            return None
        freed = Resources()
        victims: list[RunningTask] = []
        for task in self._cheapest(vm, now):
            if task.job.team is not team:
                continue
            freed = freed + task.job.group.size
            victims.append(task)
            if team.allows(size - freed) and size.fits(vm.free.resources() + freed):
                return _Offer(vm, 1, _lost(victims, now), victims)
        return None

    def _cheapest(self, vm: VmRecord, now: float) -> list[RunningTask]:
        """Return the tasks on `vm` that may be checkpointed, least lost work first."""
        tasks = [
            task
            for task in vm.tasks.values()
            if task.preemptible and self._may_checkpoint(task, now)
        ]
        tasks.sort(key=lambda task: _lost_work(task, now))
        return tasks

    def _may_checkpoint(self, task: RunningTask, now: float) -> bool:
        if self._checkpoints.get(task.task, 0) >= MOST_CHECKPOINTS_OF_TASK:
            return False
        team = task.job.team
        window = self._windows.get(team.name)
        if window is None or now - window.began_at >= TEAM_WINDOW_SECONDS:
            return True
        return window.count < _most_in_window(team)

    def _note_checkpoint(self, victim: RunningTask, now: float) -> None:
        count = self._checkpoints.pop(victim.task, 0)
        self._checkpoints[victim.task] = count + 1
        if len(self._checkpoints) > MOST_REMEMBERED_TASKS:
            self._checkpoints.popitem(last=False)
        window = self._windows.setdefault(victim.job.team.name, _TeamWindow())
        if now - window.began_at >= TEAM_WINDOW_SECONDS:
            window.began_at, window.count = now, 0
        window.count += 1


def _most_in_window(team: TeamRecord) -> float:
    return max(FEWEST_OF_TEAM_IN_WINDOW, SHARE_OF_TEAM_IN_WINDOW * team.tasks)


def _vms_of_team(team: TeamRecord) -> list[VmRecord]:
    """Return some VMs with tasks of the team that may be checkpointed."""
    tasks = (
        task
        for job in team.jobs.values()
        if job.preemptible
        for task in job.running.values()
    )
    return list({t.vm.name: t.vm for t in islice(tasks, MOST_OWN_TASKS)}.values())


def _lost(victims: list[RunningTask], now: float) -> float:
    return sum(_lost_work(task, now) for task in victims)


def _lost_work(task: RunningTask, now: float) -> float:
    """Return the processor time since the start, in millis by seconds."""
    return (now - task.started_at) * task.job.group.size.cpu_millis


def _needed(
    victims: list[RunningTask], room: Amounts, wanted: Resources
) -> list[RunningTask]:
    """Return `victims` without those whose room is not needed, dearest first."""
    kept = []
    for task in reversed(victims):
        room.add(task.job.group.size, -1)
        if not room.holds(wanted):
            room.add(task.job.group.size)
            kept.append(task)
    return kept
