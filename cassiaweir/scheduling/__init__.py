"""Decisions of the scheduler that need neither messages nor the store."""

from cassiaweir.scheduling._admission import (
    AdmissionPolicy,
    Admitted,
    Rejected,
    Submission,
    decide,
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

__all__ = [
    "PLACE_VALIDITY_S",
    "AdmissionPolicy",
    "Admitted",
    "BacklogMeter",
    "CustomerLoad",
    "Durations",
    "LoadSnapshot",
    "QueueLoad",
    "QueuePlan",
    "Rejected",
    "ServerRoom",
    "Submission",
    "WaitingTasks",
    "decide",
]
