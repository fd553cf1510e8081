"""The policy: which task runs on which VM, and in what order."""

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
    "Placement",
    "Plan",
    "Planner",
    "Preemption",
    "TaskGroup",
    "VmCondition",
    "VmOffer",
    "WaitReason",
]
