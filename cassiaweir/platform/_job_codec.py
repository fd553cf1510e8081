"""Decodes submitted jobs and encodes answers in the platform's JSON format."""

from __future__ import annotations

import json

import msgspec

from cassiaweir.exceptions import InvalidInputError
from cassiaweir.jobs import (
    MAX_TASK_SPEC_BYTES,
    JobSpec,
    JobState,
    StepSpec,
    check_steps,
)
from cassiaweir.queues import Queue

KEY_HEADER = "X-Credential"
COPIES_OF_BODY = 4
BYTES_PER_STEP = 1_024
BYTES_PER_VALUE = 64
"""Memory of a step and of a value, decoded and in the row that is stored."""

MAX_DIGITS = 30
"""Whole numbers with more digits count as the largest with so many.

All limits of `JobSpec` and `StepSpec` are smaller.
"""


class _Step(msgspec.Struct):
    # The number of tasks.
    count: int
    # Thousandths of a processor core that a task takes.
    cpu: int = 0
    mem_mb: int = 0
    # The number of accelerators that a task takes.
    gpu: int = 0
    # A rough duration of a task.
    estimate_ms: float = 0
    # Indexes of the earlier steps that must be done first.
    after: list[int] = []
    checkpoint: bool = False
    gang: bool = False
    same_rack: bool = False
    # The label that a server must have.
    requires: str = ""
    # The rack that holds the data of the step.
    affinity: str = ""
    # The maximum number of tasks of the step on one server; 0 is no limit.
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    # The goal of tasks that serve users of their own.
    goal_ms: float = 0
    # Whether the tasks take only what tasks with users of their own leave unused.
    fills: bool = False
    may_miss: int = 0


class _Submission(msgspec.Struct):
    # The text that tells a server what to run.
    spec: str
    steps: list[_Step]
    # The number of runs of a repeated job; 0 for a job that is not repeated.
    times: int = 0
    # When the first run is due, in Unix milliseconds.
    first_ms: float = 0
    # The time between two runs.
    interval_ms: float = 0


class PlatformJobCodec:
    """Implements the `JobCodec` protocol for the platform's JSON format."""

    key_header = KEY_HEADER

    def submission_memory(self, raw: bytes) -> int:
        """Return the most bytes that the job in `raw` takes until it is stored.

        Each step has a brace of its own, and each further value a comma.
        """
        return (
            COPIES_OF_BODY * len(raw)
            + BYTES_PER_STEP * raw.count(b"{")
            + BYTES_PER_VALUE * raw.count(b",")
        )

    def decode_submission(
        self,
        raw: bytes,
        *,
        job_id: str,
        queue: Queue,
        customer: str,
        submitted_at: float,
    ) -> JobSpec:
        """Return the job that the request body `raw` submits.

        Raises `InvalidInputError` with a message that names the invalid field.
        """
        try:
            found = _decode_body(raw)
        except (msgspec.DecodeError, ValueError, RecursionError) as exc:
            raise InvalidInputError(f"cannot decode the job: {exc}") from exc
        if len(found.spec.encode()) > MAX_TASK_SPEC_BYTES:
            raise InvalidInputError(f"spec: longer than {MAX_TASK_SPEC_BYTES} bytes")
        if found.times < 0 or (found.times and found.interval_ms < 0):
            raise InvalidInputError("times and interval_ms must not be negative")
        steps = tuple(_to_step(step) for step in found.steps)
        check_steps(steps)
        return JobSpec(
            job_id=job_id,
            queue=queue,
            customer=customer,
            task_spec=found.spec,
            steps=steps,
            submitted_at=submitted_at,
            times=found.times,
            first_at=found.first_ms / 1_000,
            interval_s=found.interval_ms / 1_000,
        )

    def encode_state(self, state: JobState) -> bytes:
        """Return the response body with the state of a job."""
        return msgspec.json.encode({"state": state.value})

    def encode_pending(self, count: int) -> bytes:
        """Return the response body with the number of jobs that have not started."""
        return msgspec.json.encode({"pending": count})


def _decode_body(raw: bytes) -> _Submission:
    """Return the submission in `raw`; raise `DecodeError` or `ValueError` if invalid.

    The platform sets no range for numbers, so that one which the decoder cannot
    represent does not make a job invalid: it counts as the largest that it can.
    """
    try:
        return msgspec.json.decode(raw, type=_Submission)
    except msgspec.ValidationError as exc:
        if "out of range" not in str(exc):
            raise
    found = json.loads(raw, parse_int=_parse_int, parse_constant=_refuse_constant)
    return msgspec.convert(found, type=_Submission)


def _parse_int(text: str) -> int:
    """Return the whole number in `text`, at most one of `MAX_DIGITS` digits."""
    digits = text.removeprefix("-")
    if len(digits) <= MAX_DIGITS:
        return int(text)
    largest = 10**MAX_DIGITS - 1
    return -largest if text.startswith("-") else largest


def _refuse_constant(text: str) -> float:
    """Raise `ValueError`, as NaN and Infinity are not numbers in JSON."""
    raise ValueError(f"{text} is not a number")


def _to_step(step: _Step) -> StepSpec:
    return StepSpec(
        count=step.count,
        cpu_millis=step.cpu,
        memory_mb=step.mem_mb,
        accelerators=step.gpu,
        estimate_s=step.estimate_ms / 1_000,
        after=tuple(step.after),
        checkpoints=step.checkpoint,
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.requires,
        rack=step.affinity,
        most_per_server=step.anti_affinity,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        goal_s=step.goal_ms / 1_000,
        fills=step.fills,
        may_miss=step.may_miss,
    )
