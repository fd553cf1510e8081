"""Each role keeps within what the platform allows a process (issue 3)."""

import contextlib
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from prove.cluster import SICILIA_EST, Cluster

SMALL = replace(
    SICILIA_EST, failure_domains=("augusta",), entry_vms=1, workers=2, backends=1
)
CHILDREN_FAULTS_FIELD = 8


def child_faults(pid: int) -> int:
    """Return the page faults of all children that the process waited for."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    return int(stat.rpartition(")")[2].split()[CHILDREN_FAULTS_FIELD])


def living_children(pid: int) -> list[str]:
    """Return the living children of all threads of the process."""
    tasks = Path(f"/proc/{pid}/task").glob("*/children")
    return [child for path in tasks for child in path.read_text().split()]


def descriptors(pid: int) -> list[str]:
    """Return what the descriptors of the process refer to.

    One that was closed since it was listed refers to nothing any more.
    """
    found = []
    for path in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):
            found.append(str(path.readlink()))
    return found


def shared_writable_maps(pid: int) -> list[str]:
    """Return the mappings that the process could share its writes through."""
    lines = Path(f"/proc/{pid}/maps").read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.split()[1].startswith("rw-s")]


def test_the_measure_notices_a_child_that_has_ended():
    code = "import subprocess, sys; subprocess.run(['true']); input()"
    with subprocess.Popen(
        [sys.executable, "-c", f"{code}"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as process:
        while not child_faults(process.pid):
            assert process.poll() is None
        process.communicate(b"\n")


@pytest.mark.parametrize("roles", [("entry",), ("gateway", "scheduler")])
async def test_a_role_starts_no_process_and_shares_no_memory(tmp_path, roles):
    cluster = Cluster(replace(SMALL, roles=roles), tmp_path)
    try:
        await cluster.start()
        for process in cluster.processes():
            pid = process.pid
            assert child_faults(pid) == 0
            assert living_children(pid) == []
            assert not [name for name in descriptors(pid) if "io_uring" in name]
            assert shared_writable_maps(pid) == []
        assert set(await cluster.stop()) == {0}
    finally:
        await cluster.kill()
