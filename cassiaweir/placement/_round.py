"""One round of decisions: claims, reservations, then the queues in order."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from cassiaweir.placement._choice import choose
from cassiaweir.placement._fleet import Fleet
from cassiaweir.placement._preemption import Claim, Preemptor
from cassiaweir.placement._queue import Lane, WaitingQueue
from cassiaweir.placement._records import JobRecord, TeamRecord, VmRecord
from cassiaweir.placement._reservation import Reservation, Reserver
from cassiaweir.placement._starvation import StarvationGuard
from cassiaweir.placement._types import Placement, Plan, Preemption
from cassiaweir.placement._workload import Workload
from cassiaweir.types import Resources, Urgency

URGENT_RETRY_SECONDS = 1.0
PREEMPTION_REASON = "urgent_work"


@dataclass(frozen=True, slots=True)
class Tier:
    """The waiting work of one urgency, and the reservations for it."""

    queue: WaitingQueue
    reserver: Reserver


class Rounds:
    """Keeps the queues and turns them into plans."""

    def __init__(
        self,
        fleet: Fleet,
        workload: Workload,
        bounds: dict[Urgency, float],
        is_poisoned: Callable[[str], bool],
    ) -> None:
        self._is_poisoned = is_poisoned
        self._fleet = fleet
        self._workload = workload
        self.preemptor = Preemptor(fleet)
        self._starvation_guard = StarvationGuard(fleet, bounds[Urgency.NORMAL])
        self._urgent, self._normal = (
            Tier(
                WaitingQueue(),
                Reserver(fleet, workload, self._starvation_guard, bounds[urgency]),
            )
            for urgency in (Urgency.URGENT, Urgency.NORMAL)
        )
        self._urgent_retry_at = 0.0

    def queue(self, job: JobRecord) -> None:
        """Enter `job` in the lane of its waiting tasks, unless it may not start."""
        before, tier = job.lane, self._tier(job)
        job.draining = job.draining and bool(job.running)
        if job.draining or self._is_poisoned(job.group.job):
            job.lane, job.queued = None, False
            if before is not None:
                tier.queue.forget_if_empty(before)
            return
        lane = tier.queue.add(job)
        tier.reserver.watch(lane)
        if before is not None and before is not lane:
            tier.queue.forget_if_empty(before)

    def waiting_fell(self, job: JobRecord) -> None:
        """Requeue a gang whose rest forms another class; drop an empty lane."""
        if job.waiting:
            if job.gang:
                self.queue(job)
        elif job.lane is not None:
            self._tier(job).queue.forget_if_empty(job.lane)

    def offer_lanes(self, team: TeamRecord) -> None:
        """Enter the lanes of a team again after its order fell or its limit rose."""
        order = team.order
        for lane in team.lanes.values():
            if order < lane.entry:
                urgent = lane.demand.key.urgency is Urgency.URGENT
                (self._urgent if urgent else self._normal).queue.offer(lane)

    def plan(self, now: float, max_placements: int) -> Plan:
        """Decide on up to `max_placements` starts and the preemptions they need."""
        grown = list(self._fleet.grown.values())
        self._unblock(now)
        plan = Plan([], [])
        urgent, normal = self._urgent, self._normal
        if self.preemptor.claims:
            self._serve_claims(plan, now, max_placements)
        # Urgent work gets a reservation only where checkpoints made no room for it.
        if urgent.queue.any_entered:
            self._serve(urgent, plan, now, max_placements)
        if urgent.reserver.is_needed(now):
            self._serve_overdue(urgent, plan, now, max_placements, grown)
        if normal.reserver.is_needed(now):
            self._serve_overdue(normal, plan, now, max_placements, grown)
            # A reservation that was given up has listed its VMs again.
            self._unblock(now)
        self._serve(normal, plan, now, max_placements)
        return plan

    def _tier(self, job: JobRecord) -> Tier:
        urgent = job.group.urgency is Urgency.URGENT
        return self._urgent if urgent else self._normal

    def _serve_claims(self, plan: Plan, now: float, max_placements: int) -> None:
        """Start the urgent tasks whose room has become free."""
        for claim in self.preemptor.ready(now):
            if not _within(plan, len(claim.vms), max_placements):
                return
            self.preemptor.close(claim)
            if not claim.pending and _has_room(claim):
                self._place_claimed(claim.job, claim.vms, plan, now)
                continue
            for index in claim.vms:
                del claim.job.claimed[index]
                claim.job.waiting[index] = None
            self.queue(claim.job)

    def _serve_overdue(
        self,
        tier: Tier,
        plan: Plan,
        now: float,
        max_placements: int,
        grown: list[VmRecord],
    ) -> None:
        """Start overdue jobs whose reserved VMs hold them, and reserve for others."""
        reserver = tier.reserver
        for reservation in reserver.due(now, grown):
            if not reserver.is_valid(reservation, now):
                reserver.release(reservation)
            else:
                self._start_reserved(reserver, reservation, plan, now, max_placements)
        while (
            len(plan.placements) < max_placements
            and (new := reserver.pick(now)) is not None
        ):
            if not self._start_reserved(reserver, new, plan, now, max_placements):
                if not new.vms:
                    reserver.release(new)
                # One new reservation a round bounds the time of the round.
                return

    def _start_reserved(
        self,
        reserver: Reserver,
        reservation: Reservation,
        plan: Plan,
        now: float,
        max_placements: int,
    ) -> bool:
        """Start the next tasks of a reservation; tell whether they could."""
        job = reservation.job
        if not _within(plan, job.needed_at_once, max_placements):
            return False
        vms = reserver.choose(reservation, now)
        if vms:
            reserver.fulfilled(reservation, len(vms), now)
            self._place_next(job, vms, plan, now)
        return bool(vms)

    def _serve(self, tier: Tier, plan: Plan, now: float, max_placements: int) -> None:
        """Place what the queue holds, in order, until nothing more can start."""
        queue, placements = tier.queue, plan.placements
        while len(placements) < max_placements and (lane := queue.first()) is not None:
            job = lane.heap[0][3]
            need = job.needed_at_once
            if not _within(plan, need, max_placements):
                return
            if not self._is_allowed(tier, lane, job, plan, now):
                continue
            vms = choose(self._fleet, job, now) or self._kept_room(job, now)
            if vms:
                tier.reserver.started(lane, len(vms), now)
                self._place_next(job, vms, plan, now)
            elif tier is self._normal or not self._preempt(job, plan, now):
                queue.block(lane.demand)

    def _is_allowed(
        self, tier: Tier, lane: Lane, job: JobRecord, plan: Plan, now: float
    ) -> bool:
        """Tell whether the lane may start now; else withdraw it.

        Urgent work may make room within the team's limit by checkpoints.  Normal
        work waits while the team saves up for older work.
        """
        fits = job.team.allows(job.group.size, job.needed_at_once)
        if tier is self._urgent:
            if fits:
                return True
            if self._preempt_own(job, plan, now):
                return False
        elif not fits:
            self._starvation_guard.protect(lane, job, now)
        elif not self._starvation_guard.holds_back(lane, job, now):
            return True
        lane.demand.withdraw(lane)
        return False

    def _kept_room(self, job: JobRecord, now: float) -> list[VmRecord]:
        """Return a VM kept for overdue normal work that `job` may use all the same."""
        reserver = self._normal.reserver
        if job.group.urgency is Urgency.URGENT:
            return reserver.yield_to_urgent(job)
        return reserver.backfill(job, now)

    def _preempt(self, job: JobRecord, plan: Plan, now: float) -> bool:
        """Claim room for the next tasks of `job` by checkpoints, if that suffices."""
        claim = self.preemptor.claim(job, now)
        return claim is not None and self._take_up(claim, plan)

    def _preempt_own(self, job: JobRecord, plan: Plan, now: float) -> bool:
        """Claim room within the allotment of the job's own team."""
        claim = self.preemptor.claim_within_team(job, now)
        return claim is not None and self._take_up(claim, plan)

    def _take_up(self, claim: Claim, plan: Plan) -> bool:
        job = claim.job
        for victim in claim.pending.values():
            preemption = Preemption(victim.task, victim.vm.name, PREEMPTION_REASON)
            plan.preemptions.append(preemption)
        for index in claim.vms:
            del job.waiting[index]
            job.claimed[index] = None
        self.waiting_fell(job)
        return True

    def _place_next(
        self, job: JobRecord, vms: list[VmRecord], plan: Plan, now: float
    ) -> None:
        """Start the next waiting tasks of `job` on `vms`, one on each."""
        for vm in vms:
            task = self._workload.start(job, next(iter(job.waiting)), vm, now)
            plan.placements.append(Placement(task.task, vm.name))
        if job.team.protected_lane is not None and job.team.protected_lane is job.lane:
            job.team.protected_lane = None
            self.offer_lanes(job.team)
        self.waiting_fell(job)

    def _place_claimed(
        self, job: JobRecord, vms: dict[int, VmRecord], plan: Plan, now: float
    ) -> None:
        """Start the claimed tasks of `job`."""
        for index, vm in vms.items():
            task = self._workload.start(job, index, vm, now)
            plan.placements.append(Placement(task.task, vm.name))
        self.waiting_fell(job)

    def _unblock(self, now: float) -> None:
        """Let the classes be served again for which a VM has got room."""
        grown = self._fleet.grown
        if grown:
            self._unblock_grown(grown.values())
            grown.clear()
        urgent = self._urgent.queue
        if urgent.any_blocked and now >= self._urgent_retry_at:
            self._urgent_retry_at = now + URGENT_RETRY_SECONDS
            for size in urgent.blocked_sizes():
                urgent.unblock_size(size)

    def _unblock_grown(self, grown: Collection[VmRecord]) -> None:
        normal, urgent = self._normal.queue, self._urgent.queue
        if normal.any_blocked:
            for size in normal.blocked_sizes():
                if any(vm.free.holds(size) for vm in grown):
                    normal.unblock_size(size)
        if urgent.any_blocked:
            for size in urgent.blocked_sizes():
                if any(vm.reclaimable.holds(size) for vm in grown):
                    urgent.unblock_size(size)


def _within(plan: Plan, count: int, max_placements: int) -> bool:
    """Tell whether `count` more placements fit; a larger gang may go alone."""
    if not plan.placements and max_placements > 0:
        return True
    return len(plan.placements) + count <= max_placements


def _has_room(claim: Claim) -> bool:
    """Tell whether the claimed room is free and allowed, now that the claim is closed.

    Room that other claims have been promised counts as free: their own tasks to
    checkpoint still hold as much.
    """
    size, counts = claim.job.group.size, dict[str, int]()
    if not claim.job.team.allows(size, len(claim.vms)):
        return False
    for vm in claim.vms.values():
        counts[vm.name] = counts.get(vm.name, 0) + 1
        held = size * counts[vm.name]
        if vm.removed or not vm.takes_tasks() or not _physical(vm, held):
            return False
    return True


def _physical(vm: VmRecord, size: Resources) -> bool:
    return size.fits(vm.free.resources() + vm.promised.resources())
