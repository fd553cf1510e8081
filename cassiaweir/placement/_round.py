"""One scheduling round: claims, urgent work, reservations, then normal work."""

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

# Blocked urgent work is tried again this often even if no VM has gained room.
URGENT_RETRY_SECONDS = 1.0
PREEMPTION_REASON = "urgent_work"


@dataclass(frozen=True, slots=True)
class Tier:
    """The waiting work of one urgency and its reservations."""

    queue: WaitingQueue
    reserver: Reserver


class RoundPlanner:
    """Keeps the waiting work and decides in rounds what starts."""

    def __init__(
        self,
        fleet: Fleet,
        workload: Workload,
        bound_seconds_by_urgency: dict[Urgency, float],
        is_poisoned: Callable[[str], bool],
    ) -> None:
        self._is_poisoned = is_poisoned
        self._fleet = fleet
        self._workload = workload
        self.preemptor = Preemptor(fleet)
        self._starvation_guard = StarvationGuard(
            fleet, bound_seconds_by_urgency[Urgency.NORMAL]
        )
        self._urgent, self._normal = (
            Tier(
                WaitingQueue(),
                Reserver(
                    fleet,
                    workload,
                    self._starvation_guard,
                    bound_seconds_by_urgency[urgency],
                ),
            )
            for urgency in (Urgency.URGENT, Urgency.NORMAL)
        )
        self._urgent_retry_at = 0.0

    def queue(self, job: JobRecord) -> None:
        """Put `job` into the lane of its waiting tasks, if they may start.

        A poisoned job, or a gang whose running tasks have to stop first, is taken out
        of its lane.
        """
        old_lane, tier = job.lane, self._tier(job)
        job.gang_stopping = job.gang_stopping and bool(job.running)
        if job.gang_stopping or self._is_poisoned(job.group.job):
            job.lane, job.queued = None, False
            if old_lane is not None:
                tier.queue.forget_if_empty(old_lane)
            return
        lane = tier.queue.add(job)
        tier.reserver.watch(lane)
        if old_lane is not None and old_lane is not lane:
            tier.queue.forget_if_empty(old_lane)

    def waiting_decreased(self, job: JobRecord) -> None:
        """Update the lane of `job` after the number of its waiting tasks fell.

        A smaller gang belongs to another demand class; an empty lane is removed.
        """
        if job.waiting:
            if job.gang:
                self.queue(job)
        elif job.lane is not None:
            self._tier(job).queue.forget_if_empty(job.lane)

    def push_lanes(self, team: TeamRecord) -> None:
        """Push the team's lanes again after its share fell or its limit rose."""
        weighted_share = team.weighted_share
        for lane in team.lanes.values():
            if weighted_share < lane.entry:
                urgent = lane.demand.key.urgency is Urgency.URGENT
                (self._urgent if urgent else self._normal).queue.push(lane)

    def plan(self, now: float, max_placements: int) -> Plan:
        """Decide on at most `max_placements` placements and the preemptions needed."""
        gained_room = list(self._fleet.gained_room.values())
        self._unblock(now)
        plan = Plan([], [])
        urgent, normal = self._urgent, self._normal
        if self.preemptor.claims:
            self._serve_claims(plan, now, max_placements)
        # Urgent work gets a reservation only where checkpoints made no room for it.
        if urgent.queue.has_entries:
            self._serve(urgent, plan, now, max_placements)
        if urgent.reserver.has_work(now):
            self._serve_overdue(urgent, plan, now, max_placements, gained_room)
        if normal.reserver.has_work(now):
            self._serve_overdue(normal, plan, now, max_placements, gained_room)
            # Reservations that were released have put their VMs back into the indexes.
            self._unblock(now)
        self._serve(normal, plan, now, max_placements)
        return plan

    def _tier(self, job: JobRecord) -> Tier:
        urgent = job.group.urgency is Urgency.URGENT
        return self._urgent if urgent else self._normal

    def _serve_claims(self, plan: Plan, now: float, max_placements: int) -> None:
        """Start the tasks of claims whose room is free; requeue those that failed."""
        for claim in self.preemptor.ready_claims(now):
            if not _fits_in_plan(plan, len(claim.vms), max_placements):
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
        gained_room: list[VmRecord],
    ) -> None:
        """Start jobs whose reserved VMs have room, and make new reservations."""
        reserver = tier.reserver
        for reservation in reserver.reservations_to_try(now, gained_room):
            if not reserver.is_valid(reservation, now):
                reserver.release(reservation)
            else:
                self._start_reserved(reserver, reservation, plan, now, max_placements)
        while (
            len(plan.placements) < max_placements
            and (new := reserver.reserve_next(now)) is not None
        ):
            if not self._start_reserved(reserver, new, plan, now, max_placements):
                if not new.vms:
                    reserver.release(new)
                # One new reservation per round limits the duration of the round.
                return

    def _start_reserved(
        self,
        reserver: Reserver,
        reservation: Reservation,
        plan: Plan,
        now: float,
        max_placements: int,
    ) -> bool:
        """Start the next tasks of a reservation; return whether they could start."""
        job = reservation.job
        if not _fits_in_plan(plan, job.needed_at_once, max_placements):
            return False
        vms = reserver.choose(reservation, now)
        if vms:
            reserver.fulfil(reservation, len(vms), now)
            self._place_next(job, vms, plan, now)
        return bool(vms)

    def _serve(self, tier: Tier, plan: Plan, now: float, max_placements: int) -> None:
        """Place queued work in order until nothing more can start."""
        queue, placements = tier.queue, plan.placements
        while len(placements) < max_placements and (lane := queue.first()) is not None:
            job = lane.heap[0][3]
            need = job.needed_at_once
            if not _fits_in_plan(plan, need, max_placements):
                return
            if not self._is_allowed(tier, lane, job, plan, now):
                continue
            vms = choose(self._fleet, job, now) or self._reserved_vm(job, now)
            if vms:
                tier.reserver.record_starts(lane, len(vms), now)
                self._place_next(job, vms, plan, now)
            elif tier is self._normal or not self._preempt(job, plan, now):
                queue.block(lane.demand)

    def _is_allowed(
        self, tier: Tier, lane: Lane, job: JobRecord, plan: Plan, now: float
    ) -> bool:
        """Return whether `job` may start under the limits of its team.

        If not, `lane` is withdrawn, except when urgent work claims room by preempting
        tasks of its own team.  Normal work also waits while a starved lane of its team
        is protected.
        """
        fits = job.team.allows(job.group.size, job.needed_at_once)
        if tier is self._urgent:
            if fits:
                return True
            if self._preempt_own_team(job, plan, now):
                return False
        elif not fits:
            self._starvation_guard.protect(lane, job, now)
        elif not self._starvation_guard.holds_back(lane, job, now):
            return True
        lane.demand.withdraw(lane)
        return False

    def _reserved_vm(self, job: JobRecord, now: float) -> list[VmRecord]:
        """Return a VM reserved for normal work that `job` may use nevertheless."""
        reserver = self._normal.reserver
        if job.group.urgency is Urgency.URGENT:
            return reserver.yield_to_urgent(job)
        return reserver.backfill(job, now)

    def _preempt(self, job: JobRecord, plan: Plan, now: float) -> bool:
        """Claim room for the next tasks of `job`; return whether it could."""
        claim = self.preemptor.claim(job, now)
        return claim is not None and self._apply_claim(claim, plan)

    def _preempt_own_team(self, job: JobRecord, plan: Plan, now: float) -> bool:
        """Claim room within the allotment of the team; return whether it could."""
        claim = self.preemptor.claim_within_team(job, now)
        return claim is not None and self._apply_claim(claim, plan)

    def _apply_claim(self, claim: Claim, plan: Plan) -> bool:
        """Add the preemptions of a claim to `plan`, and mark its tasks as claimed."""
        job = claim.job
        for victim in claim.pending.values():
            preemption = Preemption(victim.task, victim.vm.name, PREEMPTION_REASON)
            plan.preemptions.append(preemption)
        for index in claim.vms:
            del job.waiting[index]
            job.claimed[index] = None
        self.waiting_decreased(job)
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
            self.push_lanes(job.team)
        self.waiting_decreased(job)

    def _place_claimed(
        self, job: JobRecord, vms: dict[int, VmRecord], plan: Plan, now: float
    ) -> None:
        """Start the claimed tasks of `job`."""
        for index, vm in vms.items():
            task = self._workload.start(job, index, vm, now)
            plan.placements.append(Placement(task.task, vm.name))
        self.waiting_decreased(job)

    def _unblock(self, now: float) -> None:
        """Unblock the demand classes for which a VM has gained room.

        Blocked urgent classes are unblocked every `URGENT_RETRY_SECONDS` as well.
        """
        gained_room = self._fleet.gained_room
        if gained_room:
            self._unblock_for_vms(gained_room.values())
            gained_room.clear()
        urgent = self._urgent.queue
        if urgent.has_blocked and now >= self._urgent_retry_at:
            self._urgent_retry_at = now + URGENT_RETRY_SECONDS
            for size in urgent.blocked_sizes():
                urgent.unblock_size(size)

    def _unblock_for_vms(self, gained_room: Collection[VmRecord]) -> None:
        normal, urgent = self._normal.queue, self._urgent.queue
        if normal.has_blocked:
            for size in normal.blocked_sizes():
                if any(vm.free.holds(size) for vm in gained_room):
                    normal.unblock_size(size)
        if urgent.has_blocked:
            for size in urgent.blocked_sizes():
                if any(vm.reclaimable.holds(size) for vm in gained_room):
                    urgent.unblock_size(size)


def _fits_in_plan(plan: Plan, count: int, max_placements: int) -> bool:
    """Return whether `count` more placements fit; an empty plan takes any gang."""
    if not plan.placements and max_placements > 0:
        return True
    return len(plan.placements) + count <= max_placements


def _has_room(claim: Claim) -> bool:
    """Return whether the tasks of a closed claim fit their VMs and the allotment.

    Room that other claims have set aside counts as free, because their victims still
    hold as much.
    """
    size, counts = claim.job.group.size, dict[str, int]()
    if not claim.job.team.allows(size, len(claim.vms)):
        return False
    for vm in claim.vms.values():
        counts[vm.name] = counts.get(vm.name, 0) + 1
        needed = size * counts[vm.name]
        if vm.removed or not vm.takes_tasks() or not _fits_physically(vm, needed):
            return False
    return True


def _fits_physically(vm: VmRecord, size: Resources) -> bool:
    """Return whether `size` fits the room that no running task holds."""
    return size.fits(vm.free.resources() + vm.claimed_room.resources())
