"""Scheduling policy: the order in which tasks start and the VM each one runs on."""

from cassiaweir.placement._health import WorkerHealth
from cassiaweir.placement._planner import FairPlanner
from cassiaweir.placement._types import (
    Placement,
    Plan,
    Planner,
    Preemption,
    TaskGroup,
    VmCondition,
    VmOffer,
    WaitReason,
)

__all__ = [
    "FairPlanner",
    "Placement",
    "Plan",
    "Planner",
    "Preemption",
    "TaskGroup",
    "VmCondition",
    "VmOffer",
    "WaitReason",
    "WorkerHealth",
]
