"""Counts the bytes that processes exchange, from the counters of their TCP sockets."""

from __future__ import annotations

import re
import subprocess
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

# 20 bytes of IPv4 and 32 of TCP with timestamps.
HEADER_BYTES_PER_SEGMENT = 52
COUNTER_NAMES = ("bytes_sent", "bytes_received", "segs_out", "segs_in")
PID_PATTERN = re.compile(r"pid=(\d+)")
COUNTER_PATTERN = re.compile(rf"\b({'|'.join(COUNTER_NAMES)}):(\d+)")


@dataclass(frozen=True, slots=True)
class SocketBytes:
    """The total bytes in both directions of one connection of process `pid`."""

    pid: int
    local: str
    peer: str
    total: int


Sockets = Mapping[tuple[int, str, str], SocketBytes]


def read_sockets(pids: Sequence[int]) -> Sockets:
    """Return the established TCP connections of the processes `pids`.

    Each segment adds `HEADER_BYTES_PER_SEGMENT` for its IP and TCP headers.
    """
    command = ["ss", "--tcp", "--info", "--processes", "--numeric"]
    command += ["--no-header", "--oneline", "state", "established"]
    output = subprocess.run(command, check=True, capture_output=True, text=True)
    pid_set = set(pids)
    parsed = map(parse_socket, output.stdout.splitlines())
    return {
        (sock.pid, sock.local, sock.peer): sock
        for sock in parsed
        if sock is not None and sock.pid in pid_set
    }


def parse_socket(line: str) -> SocketBytes | None:
    """Return the connection in a line of `ss`, or None where no process holds it."""
    pid = PID_PATTERN.search(line)
    if pid is None:
        return None
    _, _, local, peer, *_ = line.split()
    counters = {name: int(value) for name, value in COUNTER_PATTERN.findall(line)}
    payload = counters.get("bytes_sent", 0) + counters.get("bytes_received", 0)
    segments = counters.get("segs_out", 0) + counters.get("segs_in", 0)
    total = payload + segments * HEADER_BYTES_PER_SEGMENT
    return SocketBytes(int(pid[1]), local, peer, total)


def bytes_between(
    before: Sockets, after: Sockets, kind_of: Callable[[str, str], str]
) -> Counter[str]:
    """Return the bytes from `before` to `after` by kind of connection.

    `kind_of` returns the kind from the local and the peer's address.  Connections that
    closed in between are not counted.
    """
    counted: Counter[str] = Counter()
    for key, sock in after.items():
        bytes_before = before[key].total if key in before else 0
        counted[kind_of(sock.local, sock.peer)] += sock.total - bytes_before
    return counted
