"""Jobs: submitted specifications, task states, and the encoding of stored progress."""

from cassiaweir.jobs._crashes import Crash, CrashHistory, Isolation
from cassiaweir.jobs._job import Job, JobState, Step, Task, TaskState
from cassiaweir.jobs._progress import (
    apply_progress,
    decode_outcome,
    encode_outcome,
    encode_progress,
)
from cassiaweir.jobs._specs import (
    MAX_TASK_SPEC_BYTES,
    JobSpec,
    StepSpec,
    check_steps,
)

__all__ = [
    "MAX_TASK_SPEC_BYTES",
    "Crash",
    "CrashHistory",
    "Isolation",
    "Job",
    "JobSpec",
    "JobState",
    "Step",
    "StepSpec",
    "Task",
    "TaskState",
    "apply_progress",
    "check_steps",
    "decode_outcome",
    "encode_outcome",
    "encode_progress",
]
