"""Jobs: submitted specifications, task states, and the encoding of stored progress."""

from cassiaweir.jobs._crashes import Crash, CrashHistory, Isolation
from cassiaweir.jobs._job import MAIN_CHUNK, ChunkKey, Job, JobState, Step
from cassiaweir.jobs._progress import (
    apply_progress,
    decode_outcome,
    encode_chunk,
    encode_outcome,
)
from cassiaweir.jobs._specs import (
    MAX_TASK_SPEC_BYTES,
    JobSpec,
    StepSpec,
    check_steps,
)
from cassiaweir.jobs._tasks import Task, TaskState

__all__ = [
    "MAIN_CHUNK",
    "MAX_TASK_SPEC_BYTES",
    "ChunkKey",
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
    "encode_chunk",
    "encode_outcome",
]
