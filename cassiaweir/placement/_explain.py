"""Explains why a job waits."""

from __future__ import annotations

from cassiaweir.placement._choice import choose
from cassiaweir.placement._fleet import Fleet
from cassiaweir.placement._records import JobRecord
from cassiaweir.placement._types import WaitReason
from cassiaweir.types import JobKind


def explain(fleet: Fleet, job: JobRecord | None, now: float) -> WaitReason:
    """Return the reason why the waiting tasks of `job` do not run."""
    if job is None or not (job.waiting or job.claimed):
        return WaitReason.NOTHING_WAITS
    if not job.waiting:
        return WaitReason.NO_ROOM
    size = job.group.size
    if not fleet.fits_some_vm(size):
        return WaitReason.FITS_NO_VM
    if not fleet.fits_open_vm(size):
        return WaitReason.ALL_FITTING_VMS_CLOSED
    if not job.team.allows(size, job.needed_at_once):
        return WaitReason.TEAM_LIMIT
    if job.gang_stopping:
        return WaitReason.WAITING_FOR_ALL
    if choose(fleet, job, now):
        return WaitReason.BEHIND_OTHERS
    if job.group.kind is JobKind.GANG and any(fleet.fitting(size)):
        return WaitReason.WAITING_FOR_ALL
    return WaitReason.NO_ROOM
