"""The payload of a task, which tells a simulated worker what the task does."""

from __future__ import annotations

from dataclasses import dataclass

from cassiaweir.types import TaskState

DEFAULT_RUN_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class TaskBehaviour:
    """How a simulated task behaves.

    It runs for `seconds`, or until it is stopped if that is None, and ends in the
    state `end`.  `usage` is its resource usage as a factor of its declared size.
    """

    seconds: float | None = DEFAULT_RUN_SECONDS
    end: TaskState = TaskState.SUCCEEDED
    usage: float = 1.0


def parse_payload(payload: str) -> TaskBehaviour:
    """Parse a payload such as `run:0.5 usage:2.0`.

    The words are `run:SECONDS`, `forever`, `fail`, `fail:SECONDS` and `usage:FACTOR`;
    others are ignored.
    """
    seconds: float | None = DEFAULT_RUN_SECONDS
    end = TaskState.SUCCEEDED
    usage = 1.0
    for word in payload.split():
        name, _, value = word.partition(":")
        match name:
            case "run":
                seconds = float(value)
            case "forever":
                seconds = None
            case "fail":
                seconds = float(value or 0)
                end = TaskState.FAILED
            case "usage":
                usage = float(value)
    return TaskBehaviour(seconds, end, usage)
