"""Each role uses no child process, io_uring or shared writable memory (issue 3).

The platform forbids all three.
"""

import contextlib
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from prove.cluster import SICILIA_EST, Cluster

SMALL_CELL = replace(
    SICILIA_EST, failure_domains=("augusta",), entry_vms=1, workers=2, backends=1
)
CHILD_MINOR_FAULTS_INDEX = 8
"""Index of `cminflt` among the fields of /proc/PID/stat that follow the command."""


def faults_of_ended_children(pid: int) -> int:
    """Return the minor page faults of all children that the process has waited for.

    The number is above 0 once a child has ended, even if it ran only for a moment.
    """
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    return int(stat.rpartition(")")[2].split()[CHILD_MINOR_FAULTS_INDEX])


def running_children(pid: int) -> list[str]:
    """Return the process ids of the running children of all threads of the process."""
    tasks = Path(f"/proc/{pid}/task").glob("*/children")
    return [child for path in tasks for child in path.read_text().split()]


def descriptor_targets(pid: int) -> list[str]:
    """Return the targets of the open file descriptors of the process.

    Descriptors that are closed while the list is read are omitted.
    """
    found = []
    for path in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):
            found.append(str(path.readlink()))
    return found


def shared_writable_maps(pid: int) -> list[str]:
    """Return the memory mappings that are shared with other processes and writable."""
    lines = Path(f"/proc/{pid}/maps").read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.split()[1].startswith("rw-s")]


def test_fault_count_detects_a_child_that_has_ended():
    code = "import subprocess, sys; subprocess.run(['true']); input()"
    with subprocess.Popen(
        [sys.executable, "-c", f"{code}"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as process:
        while not faults_of_ended_children(process.pid):
            assert process.poll() is None
        process.communicate(b"\n")


@pytest.mark.parametrize("roles", [("entry",), ("gateway", "scheduler")])
async def test_a_role_starts_no_process_and_shares_no_memory(tmp_path, roles):
    cluster = Cluster(replace(SMALL_CELL, roles=roles), tmp_path)
    try:
        await cluster.start()
        for process in cluster.processes():
            pid = process.pid
            assert faults_of_ended_children(pid) == 0
            assert running_children(pid) == []
            assert not [name for name in descriptor_targets(pid) if "io_uring" in name]
            assert shared_writable_maps(pid) == []
        assert set(await cluster.stop()) == {0}
    finally:
        await cluster.kill()
