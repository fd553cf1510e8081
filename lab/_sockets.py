"""Counts the bytes of processes off the counters of their TCP sockets."""

from __future__ import annotations

import re
import subprocess
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

HEADER_BYTES_PER_SEGMENT = 52
FIELDS = ("bytes_sent", "bytes_received", "segs_out", "segs_in")
PID_PATTERN = re.compile(r"pid=(\d+)")
FIELD_PATTERN = re.compile(rf"\b({'|'.join(FIELDS)}):(\d+)")


@dataclass(frozen=True, slots=True)
class SocketBytes:
    """The bytes in both directions of one connection of process `pid`."""

    pid: int
    local: str
    peer: str
    total: int


Sockets = Mapping[tuple[int, str, str], SocketBytes]


def read_sockets(pids: Sequence[int]) -> Sockets:
    """Return the connections of `pids`.

    IP and TCP headers count as `HEADER_BYTES_PER_SEGMENT` a segment.
    """
    command = ["ss", "--tcp", "--info", "--processes", "--numeric"]
    command += ["--no-header", "--oneline", "state", "established"]
    output = subprocess.run(command, check=True, capture_output=True, text=True)
    wanted = set(pids)
    found = map(parse_socket, output.stdout.splitlines())
    return {
        (sock.pid, sock.local, sock.peer): sock
        for sock in found
        if sock is not None and sock.pid in wanted
    }


def parse_socket(line: str) -> SocketBytes | None:
    """Return the connection that a line tells of, or None where it has no process."""
    pid = PID_PATTERN.search(line)
    if pid is None:
        return None
    _, _, local, peer, *_ = line.split()
    counters = {name: int(value) for name, value in FIELD_PATTERN.findall(line)}
    payload = counters.get("bytes_sent", 0) + counters.get("bytes_received", 0)
    segments = counters.get("segs_out", 0) + counters.get("segs_in", 0)
    total = payload + segments * HEADER_BYTES_PER_SEGMENT
    return SocketBytes(int(pid[1]), local, peer, total)


def bytes_between(
    before: Sockets, after: Sockets, kind_of: Callable[[str, str], str]
) -> Counter[str]:
    """Return the bytes since `before` by the kind that `kind_of` gives a connection.

    `kind_of` takes the local and the peer's address.  Connections that have closed
    since are left out.
    """
    counted: Counter[str] = Counter()
    for key, sock in after.items():
        earlier = before[key].total if key in before else 0
        counted[kind_of(sock.local, sock.peer)] += sock.total - earlier
    return counted
