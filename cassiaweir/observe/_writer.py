"""Writes log lines without ever waiting for whoever reads them."""

from __future__ import annotations

import os
from collections import deque

MOST_WAITING_BYTES = 1_048_576
"""Lines beyond this are dropped and counted while the reader does not read."""


class NonBlockingWriter:
    """A text sink over the file descriptor `fd`, which is made non-blocking.

    What the reader has not taken yet waits in memory up to a bound.  When there is
    room again after lines were dropped, a line tells how many.
    """

    def __init__(self, fd: int, *, most_waiting: int = MOST_WAITING_BYTES) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._most_waiting = most_waiting
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self.dropped = 0
        self._reported = 0

    def write(self, message: str) -> None:
        """Write one line now, or as soon as the reader has room."""
        self._send_waiting()
        if self._reported < self.dropped and not self._waiting:
            lost = self.dropped - self._reported
            self._reported = self.dropped
            self._put(f"level=warning event=log_lines_dropped count={lost}\n".encode())
        self._put(message.encode())
        self._send_waiting()

    def flush(self) -> None:
        """Send what the reader takes now."""
        self._send_waiting()

    def _put(self, line: bytes) -> None:
        if self._waiting_bytes + len(line) > self._most_waiting:
            self.dropped += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def _send_waiting(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                sent = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good; the program goes on without logs.
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= sent
            if sent < len(line):
                self._waiting[0] = line[sent:]
                return
            self._waiting.popleft()
