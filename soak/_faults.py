"""The faults of a run: random series from the seed, in which each fault is healed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from cassiaweir.types import Resources
from soak._checks import ALL_FRONTS, PLANNED_STOP
from soak._fronts import Front
from soak._platform import DOMAINS, FaultyServer, SoakPlatform, StoreFaults
from soak._records import EvacuationRecord, FaultRecord, History, KeyRecord
from standins._relay import RelayControl
from standins.users import ENTRY_LIFETIME_S, SERVER_SIZE

DURATION_RANGE_S = (0.5, 4.0)
"""The random duration of a fault."""

PAUSE_RANGE_S = (0.0, 2.5)
"""The random pause before each fault of a series; parallel series overlap."""

EVACUATION_PAUSE_RANGE_S = (0.0, 4.0)
"""A pause before an evacuation, as nothing is refused for the load meanwhile."""

EVACUATION_RANGE_S = (0.5, 8.0)
"""The random duration of an evacuation; those over 5 s show late starts."""

ALL_DOMAINS_SHARE = 0.2
"""The share of evacuations of all domains at once."""

CAPACITIES = (SERVER_SIZE, Resources(8_000, 32_768))
"""What a backend server may have after a restart."""

ENTRY_DELAYS_S = (0.0, 0.0, 1.5)
"""How long after a restart the entry of a backend server is written."""

ROOM_COUNTS_AFTER_S = 3.5
"""A smaller room counts once a front in touch must know it, and a heartbeat later."""

LAPSE_RANGE_S = (ENTRY_LIFETIME_S + 1.0, ENTRY_LIFETIME_S + 9.0)
"""How long a backend server is cut from the platform; its leases and entry lapse."""

RECUT_SERVERS = 3
"""How many servers crash silently at once and are cut off soon after."""

RECUT_SLOW_S = 2.0
"""How long before they crash these servers are slow."""

RECUT_DOWN_S = 0.6
RECUT_PAUSE_RANGE_S = (2.0, 6.0)
"""How long after their restart these servers are cut off."""

RECUT_S = 9.0
RECUT_KILL_SHARE = 0.5
"""The share of these faults in which the leader is killed before the cut."""

SLOW_LATE_SHARE = 0.25
"""The share of the calls to a slow server that are carried out late."""

LINK_FAULTS = (
    RelayControl(cut_forward=True, cut_back=True),
    RelayControl(cut_forward=True),
    RelayControl(cut_back=True),
    RelayControl(delay_ms=80),
)
STORE_FAULTS = (
    StoreFaults(refused=True),
    StoreFaults(lost_share=0.3),
    StoreFaults(late_share=0.3),
    StoreFaults(extra_latency_s=0.25),
)


@dataclass(slots=True)
class FaultContext:
    """What the faults act on, where they are recorded, and their random numbers."""

    platform: SoakPlatform
    fronts: Sequence[Front]
    history: History
    rng: random.Random

    def choose_front(self) -> Front:
        """Return a random front."""
        return self.rng.choice(self.fronts)

    def choose_server(self) -> FaultyServer:
        """Return a random backend server."""
        return self.rng.choice(list(self.platform.faulty.values()))

    async def wait_duration(self) -> None:
        """Wait for the random duration of a fault."""
        await asyncio.sleep(self.rng.uniform(*DURATION_RANGE_S))

    @asynccontextmanager
    async def evacuated(self, domain: str) -> AsyncIterator[EvacuationRecord]:
        """Request the evacuation of a failure domain, and withdraw it on exit."""
        servers = self.platform.servers.values()
        there = [each for each in servers if each.entry.failure_domain == domain]
        fault = self.record_start("evacuate", domain)
        self.platform.evacuate(domain)
        record = EvacuationRecord(
            frozenset(each.entry.server_id for each in there), _now()
        )
        self.history.evacuations.append(record)
        yield record
        self.platform.give_back(domain)
        fault.healed_at = record.withdrawn_at = _now()

    def record_start(self, name: str, target: str) -> FaultRecord:
        """Record the start of a fault and return its record."""
        record = FaultRecord(name, target, _now())
        self.history.faults.append(record)
        return record


async def kill_front(context: FaultContext, *, leader: bool = False) -> None:
    """Kill the process of a front, or of the leader, and start it again later."""
    front = context.choose_front()
    if leader:
        name = context.platform.leader()
        front = next((each for each in context.fronts if each.name == name), front)
    record = context.record_start("kill", front.name)
    await front.kill()
    await context.wait_duration()
    await front.start()
    record.healed_at = _now()


async def kill_all(context: FaultContext) -> None:
    """Kill the processes of all fronts at once and start them again."""
    record = context.record_start("kill-all", ALL_FRONTS)
    await asyncio.gather(*(front.kill() for front in context.fronts))
    await asyncio.sleep(context.rng.uniform(0.1, 1.0))
    await asyncio.gather(*(front.start() for front in context.fronts))
    record.healed_at = _now()


async def stop_front(context: FaultContext) -> None:
    """Stop the process of a front in an orderly way and start it again.

    A bad exit is recorded only if no other fault affected the front meanwhile.
    """
    front = context.choose_front()
    record = context.record_start(PLANNED_STOP, front.name)
    problem = await front.stop()
    alone = not any(
        each is not record and each.overlaps(record.began_at, _now(), 0.0)
        for each in context.history.faults
        if each.target in (front.name, ALL_FRONTS)
    )
    if problem and alone:
        context.history.bad_exits.append(problem)
    await front.start()
    record.healed_at = _now()


async def freeze_front(context: FaultContext) -> None:
    """Suspend the process of a front and resume it later."""
    front = context.choose_front()
    record = context.record_start("freeze", front.name)
    front.freeze()
    await context.wait_duration()
    front.thaw()
    record.healed_at = _now()


async def cut_store(context: FaultContext) -> None:
    """Cut one or both directions between a front and the store, or delay them."""
    front = context.choose_front()
    record = context.record_start("cut-store", front.name)
    front.relay.apply(context.rng.choice(LINK_FAULTS))
    await context.wait_duration()
    front.relay.reset_connections()
    front.relay.apply(RelayControl())
    record.healed_at = _now()


async def reset_store(context: FaultContext) -> None:
    """Reset the open connections of a front to the store."""
    front = context.choose_front()
    record = context.record_start("reset-store", front.name)
    front.relay.reset_connections()
    record.healed_at = _now()


async def fail_store(context: FaultContext) -> None:
    """Make the store fail for one front or for all of them."""
    fronts = [context.choose_front()] if context.rng.random() < 0.6 else context.fronts
    target = fronts[0].name if len(fronts) == 1 else ALL_FRONTS
    record = context.record_start("fail-store", target)
    faults = context.rng.choice(STORE_FAULTS)
    for front in fronts:
        front.store.faults = faults
    await context.wait_duration()
    for front in fronts:
        front.store.faults = StoreFaults()
    record.healed_at = _now()


async def forget_history(context: FaultContext) -> None:
    """Make the store drop its history of changes."""
    record = context.record_start("forget-history", ALL_FRONTS)
    context.platform.store.forget_history()
    record.healed_at = _now()


async def cut_server(context: FaultContext) -> None:
    """Cut or delay the connections to a backend server, which keeps running."""
    faulty = context.choose_server()
    record = context.record_start("cut-server", faulty.server.entry.server_id)
    faulty.relay.apply(context.rng.choice(LINK_FAULTS))
    faulty.late = SLOW_LATE_SHARE
    await context.wait_duration()
    faulty.late = 0.0
    if not faulty.silent:
        faulty.reconnect()
    record.healed_at = _now()


async def cut_from_platform(
    context: FaultContext, faulty: FaultyServer, seconds: float | None = None
) -> None:
    """Cut a backend server from all fronts and the store until its entry lapses.

    The same lifetime is back after `seconds`, by default a random time.
    """
    if seconds is None:
        seconds = context.rng.uniform(*LAPSE_RANGE_S)
    if not faulty.server.up or not faulty.registers:
        return
    record = context.record_start("lapse-server", faulty.server.entry.server_id)
    faulty.registers = False
    faulty.cut()
    await asyncio.sleep(ENTRY_LIFETIME_S)
    context.platform.unregister(faulty.server)
    await asyncio.sleep(seconds - ENTRY_LIFETIME_S)
    faulty.registers = True
    if faulty.server.up:
        faulty.reconnect()
        context.platform.write_entry(faulty)
    record.healed_at = _now()


async def crash_server(context: FaultContext) -> None:
    """Crash a backend server and restart it under the same id, perhaps smaller."""
    faulty = context.choose_server()
    if not faulty.server.up:
        return
    record = context.record_start("crash-server", faulty.server.entry.server_id)
    faulty.crash()
    await context.wait_duration()
    capacity = context.rng.choice(CAPACITIES)
    faulty.restart(capacity, context.rng.choice(ENTRY_DELAYS_S))
    record.healed_at = _now()


async def recut_servers(context: FaultContext) -> None:
    """Crash servers silently, restart them under their ids and cut them off later.

    The leader may be killed in between.
    """
    idle = [each for each in context.platform.faulty.values() if not each.silent]
    chosen = context.rng.sample(idle, min(RECUT_SERVERS, len(idle)))
    names = ",".join(each.server.entry.server_id for each in chosen)
    record = context.record_start("recut-servers", names)
    for faulty in chosen:
        faulty.late = SLOW_LATE_SHARE
    await asyncio.sleep(RECUT_SLOW_S)
    for faulty in chosen:
        if faulty.server.up:
            faulty.crash()
    await asyncio.sleep(RECUT_DOWN_S)
    for faulty in chosen:
        if not faulty.server.up:
            faulty.restart()
    kill = context.rng.random() < RECUT_KILL_SHARE
    pause_s = context.rng.uniform(*RECUT_PAUSE_RANGE_S)
    await asyncio.gather(
        asyncio.sleep(pause_s), *([kill_front(context, leader=True)] if kill else [])
    )
    for faulty in chosen:
        faulty.late = 0.0
    await asyncio.gather(
        *(cut_from_platform(context, each, RECUT_S) for each in chosen)
    )
    record.healed_at = _now()


async def resize_server(context: FaultContext) -> None:
    """Let a backend server have less room for a while."""
    faulty = context.choose_server()
    record = context.record_start("resize-server", faulty.server.entry.server_id)
    faulty.server.resize(CAPACITIES[1], counted_after_s=ROOM_COUNTS_AFTER_S)
    await context.wait_duration()
    faulty.server.resize(SERVER_SIZE, counted_after_s=0.0)
    record.healed_at = _now()


async def delay_calls(context: FaultContext) -> None:
    """Leave some calls to a server unanswered and carry them out seconds later."""
    faulty = context.choose_server()
    record = context.record_start("late-calls", faulty.server.entry.server_id)
    faulty.late = 0.4
    await context.wait_duration()
    faulty.late = 0.0
    record.healed_at = _now()


async def drain_server(context: FaultContext) -> None:
    """Mark a backend server as draining and take the mark back later."""
    faulty = context.choose_server()
    record = context.record_start("drain-server", faulty.server.entry.server_id)
    context.platform.write_entry(faulty, draining=True)
    await context.wait_duration()
    context.platform.write_entry(faulty)
    record.healed_at = _now()


async def evacuate_domains(context: FaultContext) -> None:
    """Evacuate one failure domain, or all of them at once."""
    await asyncio.sleep(context.rng.uniform(*EVACUATION_PAUSE_RANGE_S))
    count = len(DOMAINS) if context.rng.random() < ALL_DOMAINS_SHARE else 1
    async with AsyncExitStack() as stack:
        for domain in context.rng.sample(DOMAINS, count):
            await stack.enter_async_context(context.evacuated(domain))
        await asyncio.sleep(context.rng.uniform(*EVACUATION_RANGE_S))


async def withdraw_key(context: FaultContext) -> None:
    """Withdraw one of the keys permanently, as long as more than two are left.

    The first key always stays: the final polling of all jobs uses it.
    """
    if len(context.platform.keys) <= 2:
        context.platform.configure()
        return
    key = context.rng.choice(sorted(context.platform.keys)[1:])
    context.platform.keys.discard(key)
    context.platform.configure()
    context.history.keys.append(KeyRecord(key, _now()))


# A fault that is listed twice is twice as likely.
FAULTS: tuple[Callable[[FaultContext], Awaitable[None]], ...] = (
    kill_front,
    kill_front,
    kill_all,
    stop_front,
    stop_front,
    freeze_front,
    freeze_front,
    cut_store,
    cut_store,
    reset_store,
    fail_store,
    fail_store,
    forget_history,
    cut_server,
    cut_server,
    crash_server,
    delay_calls,
    drain_server,
    withdraw_key,
)


async def run_series(
    context: FaultContext,
    end_at: float,
    faults: Sequence[Callable[[FaultContext], Awaitable[None]]] = FAULTS,
) -> None:
    """Inject one of `faults` after the other, chosen at random, until `end_at`."""
    while _now() < end_at:
        await asyncio.sleep(context.rng.uniform(*PAUSE_RANGE_S))
        await context.rng.choice(faults)(context)


async def heal(context: FaultContext) -> None:
    """Undo all faults that still last."""
    for front in context.fronts:
        front.thaw()
        front.relay.apply(RelayControl())
        front.store.faults = StoreFaults()
        await front.start()
    for faulty in context.platform.faulty.values():
        faulty.late = 0.0
        if not faulty.server.up:
            faulty.restart()
        if faulty.cut_off:
            faulty.reconnect()
        faulty.relay.apply(RelayControl())


def _now() -> float:
    return asyncio.get_running_loop().time()
