"""Decisions of the scheduler that need neither messages nor the store.

What is learnt from running work is not stored: a new leader learns again, and uses
estimates until then.
"""

from cassiaweir.scheduling._admission import (
    AdmissionPolicy,
    Admitted,
    Rejected,
    Submission,
    decide,
    too_many_jobs,
)
from cassiaweir.scheduling._backfill import (
    BackfillRoom,
    expected_end,
    room_at,
    slot_times,
)
from cassiaweir.scheduling._backlog import (
    PLACE_VALIDITY_S,
    BacklogMeter,
    CustomerLoad,
    Durations,
    LoadSnapshot,
    QueueLoad,
    QueuePlan,
    ServerRoom,
    WaitingTasks,
)
from cassiaweir.scheduling._crowding import crowded_customers
from cassiaweir.scheduling._durations import DurationModel
from cassiaweir.scheduling._gangs import GangCandidate, GangPlan, plan_gang
from cassiaweir.scheduling._interference import InterferenceModel, InterferingPair
from cassiaweir.scheduling._samples import (
    MIN_GAIN_PERCENT,
    Progress,
    ProgressSampler,
)
from cassiaweir.scheduling._server_speeds import ServerSpeeds
from cassiaweir.scheduling._sibling_rates import SiblingRates
from cassiaweir.scheduling._step_durations import StepDurations

__all__ = [
    "MIN_GAIN_PERCENT",
    "PLACE_VALIDITY_S",
    "AdmissionPolicy",
    "Admitted",
    "BackfillRoom",
    "BacklogMeter",
    "CustomerLoad",
    "DurationModel",
    "Durations",
    "GangCandidate",
    "GangPlan",
    "InterferenceModel",
    "InterferingPair",
    "LoadSnapshot",
    "Progress",
    "ProgressSampler",
    "QueueLoad",
    "QueuePlan",
    "Rejected",
    "ServerRoom",
    "ServerSpeeds",
    "SiblingRates",
    "StepDurations",
    "Submission",
    "WaitingTasks",
    "crowded_customers",
    "decide",
    "expected_end",
    "plan_gang",
    "room_at",
    "slot_times",
    "too_many_jobs",
]
