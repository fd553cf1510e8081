"""Decides how work is scheduled, and learns what these decisions need to know.

Nothing here imports messages, the store or the dispatcher, so that it can be tested
alone.  Nothing is stored: a new leader learns again, and uses estimates until then.
"""

from cassiaweir.scheduling._backfill import (
    BackfillRoom,
    expected_end,
    room_at,
    slot_times,
)
from cassiaweir.scheduling._durations import DurationModel
from cassiaweir.scheduling._gangs import GangCandidate, GangPlan, plan_gang
from cassiaweir.scheduling._samples import (
    MIN_GAIN_PERCENT,
    Progress,
    ProgressSampler,
)
from cassiaweir.scheduling._server_speeds import ServerSpeeds
from cassiaweir.scheduling._step_durations import StepDurations

__all__ = [
    "MIN_GAIN_PERCENT",
    "BackfillRoom",
    "DurationModel",
    "GangCandidate",
    "GangPlan",
    "Progress",
    "ProgressSampler",
    "ServerSpeeds",
    "StepDurations",
    "expected_end",
    "plan_gang",
    "room_at",
    "slot_times",
]
