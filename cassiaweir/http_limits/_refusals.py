"""Counts refused and closed connections, and logs them at a bounded rate."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from loguru import logger

from cassiaweir.observe._metrics import Metrics

LOG_INTERVAL_S = 1.0
"""At most one log line for each cause in this time."""


CLIENT_ERRORS = (HttpProcessingError, web.RequestPayloadError, ConnectionError)


class Refusals:
    """Records what the listeners of a process refuse, by listener and cause."""

    def __init__(
        self, metrics: Metrics, seconds: Callable[[], float] = time.monotonic
    ) -> None:
        self.metrics = metrics
        self._seconds = seconds
        self._logged_at: dict[tuple[str, str], float] = {}
        self._unlogged: dict[tuple[str, str], int] = {}

    def record(self, listener: str, cause: str) -> None:
        """Count a refusal, and log it unless one was logged just now."""
        self.metrics.count("http_refusals", listener=listener, cause=cause)
        key = (listener, cause)
        count = self._unlogged.get(key, 0) + 1
        if self.may_log(key):
            logger.warning(
                "connections_refused", listener=listener, cause=cause, count=count
            )
            count = 0
        self._unlogged[key] = count

    def may_log(self, key: tuple[str, str]) -> bool:
        """Return whether a line of this key may be logged now."""
        now = self._seconds()
        last = self._logged_at.get(key)
        if last is not None and now - last < LOG_INTERVAL_S:
            return False
        self._logged_at[key] = now
        return True


class HttpErrorHandler(logging.Handler):
    """Handles the log records of an HTTP server.

    A head or body that cannot be parsed counts as a refusal; its error is stripped, as
    it and its traceback keep the bytes that were read, and each other, in memory.  All
    else is a fault of the program and is logged with its trace.
    """

    def __init__(self, listener: str, refusals: Refusals) -> None:
        super().__init__(logging.WARNING)
        self._listener = listener
        self._refusals = refusals

    def emit(self, record: logging.LogRecord) -> None:
        """Record the error of `record`."""
        exc = record.exc_info[1] if record.exc_info else None
        if isinstance(exc, CLIENT_ERRORS):
            exc.__traceback__ = exc.__context__ = exc.__cause__ = None
            self._refusals.record(self._listener, "malformed")
            return
        self._refusals.metrics.count("http_errors", listener=self._listener)
        if self._refusals.may_log((self._listener, "error")):
            text = record.getMessage()
            logger.opt(exception=exc).warning(
                "request_failed", listener=self._listener, error=text
            )


def http_logger(listener: str, refusals: Refusals) -> logging.Logger:
    """Return a logger for the HTTP server of a listener."""
    found = logging.Logger(f"cassiaweir.http.{listener}", logging.WARNING)
    found.addHandler(HttpErrorHandler(listener, refusals))
    return found
