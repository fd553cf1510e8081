"""Tests of `RecordKeeper`: the rows that servers need before they get runs."""

from __future__ import annotations

import asyncio

from cassiaweir.dispatch import ServerReport
from cassiaweir.dispatch._record_keeper import RecordKeeper
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_records import ServerRecords
from cassiaweir.observe import Metrics
from cassiaweir.types import Write
from tests.test_dispatch_orders import SERVER, now
from tests.test_leadership_commits import CommitRig
from tests.virtual_time import VirtualClock, run_virtual


# Guards against SHORT (issue 47): a new server gets no runs until all rows that were
# queued before its own are stored.
def test_a_new_server_waits_for_its_own_row_alone() -> None:
    async def body() -> None:
        rig = CommitRig()
        rig.node.fault_mode = "busy"
        await asyncio.sleep(0.1)
        for number in range(600):
            rig.commits.put(Write(f"progress/main/{number}", b"x"))
        woken: list[int] = []
        keeper = RecordKeeper(
            ServerRecords(rig.commits, {}, 1), rig.commits, VirtualClock(),
            Metrics(), lambda: woken.append(len(rig.store.rows)),
        )  # fmt: skip
        server = Server(SERVER)
        server.update_from_report(ServerReport(1_000, 1, [], []), now())
        storing = asyncio.create_task(keeper.store(server))
        await asyncio.sleep(0.01)
        assert server.recording and not server.recorded
        rig.node.fault_mode = ""
        await storing
        assert server.recorded and not server.recording
        assert f"known/main/{SERVER.server_id}" in rig.store.rows
        assert woken[0] < 300, f"{woken[0]} rows were stored before"
        await rig.close()

    run_virtual(body)
