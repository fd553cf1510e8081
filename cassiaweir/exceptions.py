"""Exceptions raised by cassiaweir."""

from __future__ import annotations

from datetime import timedelta

from cassiaweir.verdict import Verdict


class CassiaweirError(Exception):
    """Base class of the exceptions that cassiaweir defines."""


class SettingsError(CassiaweirError):
    """A setting is unknown, malformed, or contradicts another one."""


class InvalidInputError(CassiaweirError):
    """Input from a caller or an operator is invalid; the message says why."""


class NotFoundError(CassiaweirError):
    """The named object does not exist."""


class ConflictError(CassiaweirError):
    """A conditional change failed because a concurrent change came first."""


class TransactionRejectedError(CassiaweirError):
    """The store refuses a transaction for good; repeating it cannot succeed."""


class RowRejectedError(CassiaweirError):
    """The store refuses a row for good, so that what rests on it is not stored."""


class RefusedError(CassiaweirError):
    """A request was refused, or given up without a usable result.

    `reason` is a short identifier such as `table_unavailable`.  `verdict` says
    whether the request may have run.  `retry_after` is the time after which the caller
    should retry, or None if a retry cannot succeed.
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
    """A peer or a platform service gave no usable response.

    `verdict` says whether the call may still have taken effect.
    """

    def __init__(self, message: str, *, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class LifetimeEndedError(UnavailableError):
    """A server's lifetime has ended: another one answers at its address."""

    def __init__(self, message: str) -> None:
        super().__init__(message, verdict=Verdict.NOT_RUN)


class FencedError(CassiaweirError):
    """A worker or a server refused a command because it has seen a higher epoch."""


class LeaseLostError(CassiaweirError):
    """This process no longer owns the shard on whose behalf it acts."""


class HistoryLostError(CassiaweirError):
    """The store no longer has the requested changes; list all rows again."""


class LeadershipLostError(CassiaweirError):
    """Another process has become leader, or this one may no longer act as leader."""
