"""Exceptions raised by cassiaweir."""

from __future__ import annotations

from datetime import timedelta

from cassiaweir.verdict import Verdict


class CassiaweirError(Exception):
    """The base of all exceptions that cassiaweir raises on purpose."""


class SettingsError(CassiaweirError):
    """A setting is unknown, malformed, or contradicts another one."""


class InvalidInputError(CassiaweirError):
    """Input from a caller or an operator was refused; the message says why."""


class NotFoundError(CassiaweirError):
    """The named object does not exist."""


class ConflictError(CassiaweirError):
    """A conditional change lost against a concurrent one."""


class RefusedError(CassiaweirError):
    """A request was given up on.

    `reason` is a short identifier such as `table_unavailable`.  `verdict` says
    whether the request may have run.  `retry_after` tells the caller when to come
    back, or is None where asking again cannot help.
    """

    def __init__(
        self,
        reason: str,
        message: str,
        *,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after: timedelta | None = None,
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.verdict = verdict
        self.retry_after = retry_after


class UnavailableError(CassiaweirError):
    """A peer or a platform service gave no usable answer.

    `verdict` says whether the call may have taken effect all the same.
    """

    def __init__(self, message: str, *, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class FencedError(CassiaweirError):
    """A worker refused a command because it has seen a higher epoch."""


class LeaseLostError(CassiaweirError):
    """The caller no longer owns the shard that it acts for."""


class HistoryLostError(CassiaweirError):
    """The store no longer holds the changes asked for; list the rows again."""


class LeadershipLostError(CassiaweirError):
    """Another process has taken over, or this one may no longer act as the leader."""
