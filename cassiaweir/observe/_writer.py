"""A log sink that never blocks the process on a slow reader."""

from __future__ import annotations

import os
from collections import deque

MAX_BUFFERED_BYTES = 1_048_576
"""Lines that would exceed this buffer are dropped and counted."""


class NonBlockingWriter:
    """A text sink that writes to the file descriptor `fd` and makes it non-blocking.

    Lines that the reader has not accepted yet are buffered in memory, at most
    `max_buffered_bytes`.  Further lines are dropped.  Once the buffer is empty again,
    a log line states how many were dropped.
    """

    def __init__(
        self, fd: int, *, max_buffered_bytes: int = MAX_BUFFERED_BYTES
    ) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._max_buffered_bytes = max_buffered_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped_lines = 0
        self._reported_drops = 0

    def write(self, message: str) -> None:
        """Write one line now, or buffer it for a later call of `write` or `flush`."""
        self._send_buffered()
        if self._reported_drops < self.dropped_lines and not self._buffer:
            unreported = self.dropped_lines - self._reported_drops
            self._reported_drops = self.dropped_lines
            self._enqueue(
                f"level=warning event=log_lines_dropped count={unreported}\n".encode()
            )
        self._enqueue(message.encode())
        self._send_buffered()

    def flush(self) -> None:
        """Send as many buffered lines as the reader accepts now."""
        self._send_buffered()

    def _enqueue(self, line: bytes) -> None:
        """Buffer `line`, or drop and count it if the buffer is full."""
        if self._buffered_bytes + len(line) > self._max_buffered_bytes:
            self.dropped_lines += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def _send_buffered(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                sent = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, for example because it closed the pipe.  The
                # process goes on without logs.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= sent
            if sent < len(line):
                self._buffer[0] = line[sent:]
                return
            self._buffer.popleft()
