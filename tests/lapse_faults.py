"""Faults that cut backend servers from all VMs, and from the store where it says so.

The entry of a server that is cut from the store lapses, the leases of its runs end, and
it may restart behind the cut.  Each fault picks servers that no other fault here has
cut, so that the cuts of several servers overlap and repeat.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field, replace

from standins.users import ENTRY_LIFETIME_S, FakeServer, RunRecord
from tests.site_fakes import FakeSite

CUT_RANGE_S = (4.0, 15.0)
LEADER_CUT_RANGE_S = (4.0, 10.0)
REBIRTH_RANGE_S = (3.5, 8.0)
"""From the cut to the restart at least, which waits for the end of all leases."""

FOUND_S = 0.4
"""From the time at which a run is found on a server until this is cut off."""

HEAL_RANGE_S = (11.0, 15.0)
CUTS_OF_CHASE = 6
LEAST_SERVERS = 5
"""Servers that are left when others are lost for good."""


class ServerCut:
    """Cuts a server from all VMs, and from the store unless it keeps its entry.

    An entry lapses `ENTRY_LIFETIME_S` after the cut from the store.
    """

    def __init__(
        self, site: FakeSite, server: FakeServer, *, keeps_entry: bool = False
    ) -> None:
        self._site = site
        self._server = server
        self._keeps_entry = keeps_entry
        self._healed = False
        for vm in site.vms:
            vm.orders.unreachable.add(server.entry.server_id)
        if not keeps_entry:
            site.call_later(ENTRY_LIFETIME_S, self._lapse)

    def _lapse(self) -> None:
        if not self._healed:
            self._site.unregister(self._server)

    def restart(self) -> None:
        """Start the server's next lifetime; its entry waits for the store."""
        self._server.crash()
        self._server.restart(registered=self._keeps_entry)

    def heal(self) -> None:
        """End the cut; the server writes its entry again."""
        self._healed = True
        for vm in self._site.vms:
            vm.orders.unreachable.discard(self._server.entry.server_id)
        if self._server.up and not self._keeps_entry:
            self._site.register(self._server)


async def cut_for(
    site: FakeSite, server: FakeServer, seconds: float, *, keeps_entry: bool = False
) -> None:
    """Cut a server that goes on for `seconds`."""
    cut = ServerCut(site, server, keeps_entry=keeps_entry)
    await asyncio.sleep(seconds)
    cut.heal()


async def cut_and_restart(
    site: FakeSite,
    server: FakeServer,
    reborn_s: float,
    seconds: float,
    *,
    keeps_entry: bool = False,
) -> None:
    """Cut a server for `seconds` that restarts behind the cut after `reborn_s`."""
    cut = ServerCut(site, server, keeps_entry=keeps_entry)
    began_at = asyncio.get_running_loop().time()
    await asyncio.sleep(reborn_s)
    await wait_for_lapse(server)
    cut.restart()
    cut_s = asyncio.get_running_loop().time() - began_at
    await asyncio.sleep(max(seconds - cut_s, 0.0))
    cut.heal()


async def wait_for_lapse(server: FakeServer) -> None:
    """Wait until the leases of all runs of a server have ended."""
    left_ms = server.until_ms - server.clock_ms()
    await asyncio.sleep(max(left_ms, 0) / 1_000 + 0.1)


def cut_now(site: FakeSite, server: FakeServer) -> bool:
    """Return whether a VM cannot reach a server."""
    name = server.entry.server_id
    return any(name in vm.orders.unreachable for vm in site.vms)


def choose(site: FakeSite, rng: random.Random, most: int) -> list[FakeServer]:
    """Return up to `most` random servers that are up and not cut."""
    found = [
        each
        for each in site.servers.values()
        if each.up and each.successor is None and not cut_now(site, each)
    ]
    return rng.sample(found, min(rng.randint(1, most), len(found)))


Cut = Callable[[FakeSite, FakeServer, float], Coroutine[None, None, None]]


async def entry_lapses(site: FakeSite, server: FakeServer, seconds: float) -> None:
    await cut_for(site, server, seconds)


async def entry_stays(site: FakeSite, server: FakeServer, seconds: float) -> None:
    await cut_for(site, server, seconds, keeps_entry=True)


async def restarts_with_entry(
    site: FakeSite, server: FakeServer, seconds: float
) -> None:
    reborn_s = seconds / 2
    await cut_and_restart(site, server, reborn_s, seconds, keeps_entry=True)


async def restarts_without_entry(
    site: FakeSite, server: FakeServer, seconds: float
) -> None:
    await cut_and_restart(site, server, seconds / 2, seconds)


async def never_returns(site: FakeSite, server: FakeServer, seconds: float) -> None:
    ServerCut(site, server)
    await asyncio.sleep(seconds)


RETURNS: tuple[Cut, ...] = (
    entry_lapses, entry_stays, restarts_with_entry, restarts_without_entry,
)  # fmt: skip


CUTS = (*RETURNS, never_returns)
"""The ways to cut a server; `RETURNS` are those after which it is back."""


@dataclass
class Chase:
    """Cuts whichever server runs a task, several times in turn.

    Each run is cut off once, `found_s` after it is found, in a way that `choose_cut`
    returns.  The chase ends with the job, or if no run is found for `limit_s`.
    """

    site: FakeSite
    task: str
    choose_cut: Callable[[], Cut]
    found_s: float = FOUND_S
    cuts: int = CUTS_OF_CHASE
    limit_s: float = 30.0
    seen: set[int] = field(default_factory=set)

    async def run(self, after_cut: Callable[[], Awaitable[None]] | None = None) -> None:
        """Cut servers, and call `after_cut` after each cut where given."""
        cuts = []
        for _ in range(self.cuts):
            server = await self._find_server()
            if server is None:
                break
            await asyncio.sleep(self.found_s)
            seconds = self.site.rng.uniform(*HEAL_RANGE_S)
            cut = self.choose_cut()(self.site, server, seconds)
            cuts.append(asyncio.create_task(cut))
            await asyncio.sleep(0)
            if after_cut is not None:
                await after_cut()
        await asyncio.gather(*cuts)

    async def _find_server(self) -> FakeServer | None:
        """Return the server that runs the task anew, None if there is none."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self.limit_s
        while loop.time() < ends_at and not self._has_ended():
            for run in running(self.site, self.task):
                server = self.site.servers[run.server]
                if run.number not in self.seen and not cut_now(self.site, server):
                    self.seen.add(run.number)
                    return server
            await asyncio.sleep(0.01)
        return None

    def _has_ended(self) -> bool:
        leader = self.site.leader()
        job_id = self.task.partition(".")[0]
        state = leader.term.job_state(job_id) if leader is not None else None
        return state is not None and state.final


def running(site: FakeSite, prefix: str) -> list[RunRecord]:
    """Return the runs that have not ended of tasks whose names begin with `prefix`."""
    for server in site.servers.values():
        server.apply_due_events()
    return [run for run in site.starts_of(prefix) if run.ended_at is None]


async def chase_task(site: FakeSite, rng: random.Random) -> None:
    """Cut whichever server runs a task, several times in turn."""
    runs = running(site, "")
    if runs:
        task = rng.choice(runs).task
        chase = Chase(site, task, lambda: rng.choice(RETURNS), cuts=4, limit_s=12.0)
        await chase.run()


async def lapse_entries(site: FakeSite, rng: random.Random) -> None:
    """Cut servers until their entries lapse; the same lifetimes are back later."""
    servers = choose(site, rng, 3)
    await asyncio.gather(
        *(cut_for(site, each, rng.uniform(*CUT_RANGE_S)) for each in servers)
    )


async def lapse_in_series(site: FakeSite, rng: random.Random) -> None:
    """Cut servers one after the other, each while former cuts last."""
    cuts = []
    for _ in range(rng.randint(2, 4)):
        cuts.append(asyncio.create_task(lapse_entries(site, rng)))
        await asyncio.sleep(rng.uniform(0.3, 4.0))
    await asyncio.gather(*cuts)


async def cut_all_ways(site: FakeSite, rng: random.Random) -> None:
    """Cut servers from all VMs; they still reach the store."""
    servers = choose(site, rng, 3)
    await asyncio.gather(
        *(
            cut_for(site, each, rng.uniform(*CUT_RANGE_S), keeps_entry=True)
            for each in servers
        )
    )


async def restart_behind_cut(site: FakeSite, rng: random.Random) -> None:
    """Cut servers that restart there once their runs have lapsed."""
    servers = choose(site, rng, 2)
    keeps_entry = rng.random() < 0.5
    restarts = []
    for server in servers:
        reborn_s = rng.uniform(*REBIRTH_RANGE_S)
        seconds = reborn_s + rng.uniform(0.0, 7.0)
        restarts.append(
            cut_and_restart(site, server, reborn_s, seconds, keeps_entry=keeps_entry)
        )
    await asyncio.gather(*restarts)


async def cut_leader(site: FakeSite, rng: random.Random) -> None:
    """Cut the leader from all servers; the other VMs reach them."""
    vm = site.leader() or rng.choice(site.vms)
    added = set(site.servers) - vm.orders.unreachable
    vm.orders.unreachable |= added
    await asyncio.sleep(rng.uniform(*LEADER_CUT_RANGE_S))
    vm.orders.unreachable -= added


async def drain_and_cut(site: FakeSite, rng: random.Random) -> None:
    """Drain a server that is cut meanwhile; it stays, or leaves and starts again."""
    for server in choose(site, rng, 1):
        server.entry = replace(server.entry, draining=True)
        site.register(server)
        await asyncio.sleep(rng.uniform(0.0, 2.0))
        cut = ServerCut(site, server, keeps_entry=rng.random() < 0.5)
        await asyncio.sleep(rng.uniform(*REBIRTH_RANGE_S))
        server.entry = replace(server.entry, draining=False)
        if rng.random() < 0.5:
            cut.restart()
        await asyncio.sleep(rng.uniform(0.0, 6.0))
        cut.heal()
        if server.up:
            site.register(server)


async def lose_server(site: FakeSite, rng: random.Random) -> None:
    """Cut a server that never comes back; its runs lapse or crash there."""
    up = [each for each in site.servers.values() if each.up]
    if len(up) <= LEAST_SERVERS:
        return
    for server in choose(site, rng, 1):
        ServerCut(site, server)
        await asyncio.sleep(rng.uniform(0.0, 6.0))
        server.crash()


LAPSE_FAULTS = (
    chase_task, chase_task, chase_task, lapse_entries, lapse_entries, lapse_in_series,
    cut_all_ways, restart_behind_cut, restart_behind_cut, cut_leader, drain_and_cut,
    lose_server,
)  # fmt: skip
