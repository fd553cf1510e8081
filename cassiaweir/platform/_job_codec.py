"""The bodies of job calls: decodes submissions and encodes the answers."""

from __future__ import annotations

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


class _Step(msgspec.Struct):
    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    after: list[int] = []
    checkpoint: bool = False
    gang: bool = False
    same_rack: bool = False
    # The label that a server must have.
    requires: str = ""
    # The rack where the data lies.
    affinity: str = ""
    # The most tasks of the step on one server.
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    goal_ms: float = 0
    fills: bool = False
    may_miss: int = 0


class _Submission(msgspec.Struct):
    spec: str
    steps: list[_Step]
    times: int = 0
    first_ms: float = 0
    interval_ms: float = 0


class PlatformJobCodec:
    """Translates the bodies of callers from and to the platform's form."""

    key_header = KEY_HEADER

    def decode_submission(
        self,
        raw: bytes,
        *,
        job_id: str,
        queue: Queue,
        customer: str,
        submitted_at: float,
    ) -> JobSpec:
        """Return the job in the body of a submission.

        Raises `InvalidInputError` saying which field is at fault.
        """
        try:
            found = msgspec.json.decode(raw, type=_Submission)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise InvalidInputError(f"the job cannot be read: {exc}") from exc
        if len(found.spec.encode()) > MAX_TASK_SPEC_BYTES:
            raise InvalidInputError(f"spec: longer than {MAX_TASK_SPEC_BYTES} bytes")
        if found.times < 0 or (found.times and found.interval_ms < 0):
            raise InvalidInputError("times: neither count nor interval may be negative")
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
        """Return the body that tells the state of a job."""
        return msgspec.json.encode({"state": state.value})

    def encode_pending(self, count: int) -> bytes:
        """Return the body that tells how many jobs of a queue have not begun."""
        return msgspec.json.encode({"pending": count})


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
