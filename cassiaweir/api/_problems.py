"""Converts every error into a response with a typed problem body."""

from __future__ import annotations

import math
from datetime import timedelta

import msgspec
from sanic import HTTPResponse, Request
from sanic.exceptions import SanicException, ServiceUnavailable
from sanic.handlers import ErrorHandler

from cassiaweir.exceptions import (
    CassiaweirError,
    ConflictError,
    InvalidInputError,
    NotFoundError,
    RefusedError,
    UnavailableError,
)
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.verdict import Verdict

CONTENT_TYPE = "application/problem+json"
UNAVAILABLE_RETRY_AFTER = timedelta(seconds=1)
STATUS_BY_REASON = {
    "key_missing": 401,
    "key_unknown": 401,
    "key_withdrawn": 401,
    "credential_missing": 401,
    "operator_unknown": 401,
    "other_team": 403,
    "role_missing": 403,
    "queue_unknown": 404,
    "service_unknown": 404,
    "in_doubt": 409,
    "confirmation_needed": 409,
    "key_reused": 422,
    "queue_full": 429,
    "too_many_calls": 429,
    "backend_failed": 502,
    "deadline_passed": 504,
}
DEFAULT_REFUSED_STATUS = 503
REASON_BY_STATUS = {
    400: "malformed_request",
    404: "not_found",
    405: "method_not_allowed",
    408: "request_too_slow",
    413: "body_too_large",
    417: "expectation_failed",
}


class Problem(msgspec.Struct, frozen=True):
    """The body of an error response.

    `verdict` says whether the request may have run.
    """

    status: int
    reason: str
    detail: str
    verdict: Verdict
    title: str = "The request was not answered as asked."


def describe_exception(exc: Exception) -> tuple[Problem, timedelta | None]:
    """Return the problem body for `exc`, and the time after which to retry, if any."""
    if isinstance(exc, RefusedError):
        status = STATUS_BY_REASON.get(exc.reason, DEFAULT_REFUSED_STATUS)
        return Problem(status, exc.reason, str(exc), exc.verdict), exc.retry_after
    if isinstance(exc, UnavailableError):
        problem = Problem(503, "unavailable", str(exc), exc.verdict)
        return problem, UNAVAILABLE_RETRY_AFTER
    if isinstance(exc, CassiaweirError):
        return _describe_cassiaweir_error(exc), None
    if isinstance(exc, SanicException):
        return _describe_http_error(exc), None
    detail = "internal server error"
    return Problem(500, "internal_error", detail, Verdict.MAY_HAVE_RUN), None


def _describe_cassiaweir_error(exc: CassiaweirError) -> Problem:
    if isinstance(exc, InvalidInputError):
        return Problem(400, "invalid_input", str(exc), Verdict.NOT_RUN)
    if isinstance(exc, NotFoundError):
        return Problem(404, "not_found", str(exc), Verdict.NOT_RUN)
    if isinstance(exc, ConflictError):
        return Problem(409, "conflict", str(exc), Verdict.NOT_RUN)
    return Problem(503, "unavailable", str(exc), Verdict.MAY_HAVE_RUN)


def _describe_http_error(exc: SanicException) -> Problem:
    """Return the problem for an exception of Sanic.

    Sanic raises these before a handler runs, except for `ServiceUnavailable`, which
    it raises when the response timeout passes.
    """
    if isinstance(exc, ServiceUnavailable):
        detail = "the request was not answered within the response timeout"
        return Problem(503, "answer_too_slow", detail, Verdict.MAY_HAVE_RUN)
    reason = REASON_BY_STATUS.get(exc.status_code, "refused")
    return Problem(exc.status_code, reason, str(exc), Verdict.NOT_RUN)


def problem_response(exc: Exception) -> HTTPResponse:
    """Return the HTTP response that reports `exc` to the caller."""
    problem, retry_after = describe_exception(exc)
    headers = {}
    if retry_after is not None:
        seconds = max(1, math.ceil(retry_after.total_seconds()))
        headers["Retry-After"] = str(seconds)
    body = msgspec.json.encode(problem)
    return HTTPResponse(
        body, status=problem.status, headers=headers, content_type=CONTENT_TYPE
    )


class ProblemHandler(ErrorHandler):
    """Responds to every exception of a handler or of Sanic with a problem body."""

    def __init__(self, events: EventLog, metrics: Metrics) -> None:
        super().__init__()
        self._events = events
        self._metrics = metrics

    def default(self, request: Request, exception: Exception) -> HTTPResponse:
        """Return the problem response; an unexpected exception is also recorded."""
        if not isinstance(exception, CassiaweirError | SanicException):
            self._events.record(
                "internal_error", reason=type(exception).__name__, detail=str(exception)
            )
        self._metrics.count(
            "http_refusals", reason=describe_exception(exception)[0].reason
        )
        return problem_response(exception)
