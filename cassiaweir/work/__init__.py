"""Jobs, their parts in the shards, and the state of their tasks."""

from cassiaweir.work._division import ShardAssignment, ShardCandidate, divide_job
from cassiaweir.work._models import JobRow, JobSpec, PartRow, TaskSize
from cassiaweir.work._part import (
    EndedAttempt,
    NextStep,
    Part,
    TaskPhase,
    TaskRecord,
)
from cassiaweir.work._ranges import collect_ranges, expand_ranges
from cassiaweir.work._rows import (
    JOB_PREFIX,
    DoneRow,
    decode_done,
    decode_job,
    decode_part,
    done_key,
    job_key,
    part_key,
    part_prefix,
)
from cassiaweir.work._scheduler_client import (
    GrpcSchedulerClient,
    PartAnswer,
    SchedulerClient,
)
from cassiaweir.work._submission import JobManager, JobPage, JobStatus

__all__ = [
    "JOB_PREFIX",
    "DoneRow",
    "EndedAttempt",
    "GrpcSchedulerClient",
    "JobManager",
    "JobPage",
    "JobRow",
    "JobSpec",
    "JobStatus",
    "NextStep",
    "Part",
    "PartAnswer",
    "PartRow",
    "SchedulerClient",
    "ShardAssignment",
    "ShardCandidate",
    "TaskPhase",
    "TaskRecord",
    "TaskSize",
    "collect_ranges",
    "decode_done",
    "decode_job",
    "decode_part",
    "divide_job",
    "done_key",
    "expand_ranges",
    "job_key",
    "part_key",
    "part_prefix",
]
