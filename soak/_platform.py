"""The simulated platform of a run: store and backend servers behind faulty relays."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import web
from loguru import logger

from cassiaweir.dispatch import EndKind
from cassiaweir.leadership import LEAD_PREFIX, decode_owner
from cassiaweir.types import Resources, Write
from soak._checks import MAX_STRETCH_S
from soak._records import STATUS_ACCEPTED
from standins._relay import Relay, RelayControl
from standins.users import (
    EVACUATION_S,
    SERVICE,
    FakeServer,
    ServerService,
    Site,
    StoreService,
    listening,
)

LOOPBACK_ADDRESS = "127.0.0.1:0"
LATE_WRITE_RANGE_S = (1.0, 4.0)
LATE_CALL_RANGE_S = (0.1, 8.0)
"""How much later a server may carry out a call that it did not answer."""

DARK_LATE_SHARE = 0.3
"""The share of the calls to a silent server that are carried out late."""

HANG_S = 60.0
"""How long a request that gets no response is held open if the client stays."""

QUEUE_PREFIX = "/jobs/"
QUEUE_HOST = "soak.example"
KEYS = ("key-0", "key-1", "key-2", "key-3")
CAPPED_KEY = KEYS[1]
"""The key of the customer whose running tasks are limited to `CAP`."""

ATTEMPTS = 3
"""Ends `failed` of a task after which its job is failed."""

CAP = Resources(8_000)
OVERLOAD_KEY = "key-overload"
"""The key of the customer that submits several times its share; it stays valid."""

OVERLOAD_SHARE = 2
"""The jobs a second of that customer's share."""

DOMAINS = ("augusta", "modica")
"""The failure domains of the backend servers."""


@dataclass(slots=True)
class StoreFaults:
    """How one VM's calls to the store fail.

    With `refused`, every call gets status 503.  A share `lost_share` of the writes is
    applied but gets no response; a share `late_share` is applied seconds later and gets
    no response either.  Every response is delayed by `extra_latency_s`.
    """

    refused: bool = False
    lost_share: float = 0.0
    late_share: float = 0.0
    extra_latency_s: float = 0.0


class FaultyStore:
    """The path of one VM to the shared store."""

    def __init__(self, service: StoreService, rng: random.Random) -> None:
        self.faults = StoreFaults()
        self._service = service
        self._rng = rng
        self._late_writes: set[asyncio.Task[None]] = set()

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Handle one call, subject to the faults."""
        faults = self.faults
        if faults.refused:
            return web.Response(status=503)
        await asyncio.sleep(faults.extra_latency_s)
        is_write = req.path == "/rows-tx"
        if is_write and self._rng.random() < faults.late_share:
            await req.read()
            task = asyncio.create_task(self._write_late(req))
            self._late_writes.add(task)
            task.add_done_callback(self._late_writes.discard)
            await asyncio.sleep(HANG_S)
        resp = await self._service.handle(req)
        if is_write and self._rng.random() < faults.lost_share:
            await asyncio.sleep(HANG_S)
        return resp

    async def _write_late(self, req: web.BaseRequest) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_WRITE_RANGE_S))
        await self._service.handle(req)


class FaultyServer:
    """A backend server behind a relay.

    A share `late` of the calls gets no response and is carried out seconds later, by
    whichever lifetime is at the address then.  While it is `cut_off`, that share is
    `DARK_LATE_SHARE`, and the other calls are lost.  Unless it `registers`, its entry
    is not written.
    """

    def __init__(
        self, server: FakeServer, platform: SoakPlatform, rng: random.Random
    ) -> None:
        self.server = server
        self.late = 0.0
        self.cut_off = False
        self.registers = True
        self.address = ""
        self.relay: Relay
        self._platform = platform
        self._service = ServerService(server)
        self._rng = rng
        self._late_calls: set[asyncio.Task[None]] = set()

    @property
    def silent(self) -> bool:
        """Whether calls get no answer, as the server is down or cut off."""
        return self.cut_off or not self.server.up

    async def open(self, stack: AsyncExitStack) -> None:
        """Listen, and relay from the address that is to be registered."""
        direct_address = await stack.enter_async_context(listening(self._handle))
        self.relay, self.address = await open_relay(direct_address, stack)

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        body = msgspec.json.decode(await req.read())
        born = self.server.entry.born
        share = DARK_LATE_SHARE if self.silent else self.late
        if self._rng.random() < share:
            task = asyncio.create_task(self._carry_out_late(req.path, body, born))
            self._late_calls.add(task)
            task.add_done_callback(self._late_calls.discard)
        elif not self.silent:
            resp = await self._service.carry_out(req.path, body)
            if not self.silent and self.server.entry.born == born:
                return resp
        await asyncio.sleep(HANG_S)
        return web.Response(status=503)

    async def _carry_out_late(self, path: str, body: dict[str, Any], born: int) -> None:
        """Carry out a call later, with the fence that it was sent with."""
        await asyncio.sleep(self._rng.uniform(*LATE_CALL_RANGE_S))
        if not self.server.up or self._cannot_be_prevented(path, body, born):
            return
        known = len(self._platform.history)
        resp = await self._service.carry_out(path, body | {"wait_ms": 0})
        entry = self.server.entry
        if resp.status == STATUS_ACCEPTED and entry.born != born:
            self._platform.crossed_calls[path] += 1
            logger.info(
                "{} of lifetime {} carried out in lifetime {} of {}: {}",
                path, born, entry.born, entry.server_id, body,
            )  # fmt: skip
        late = self._platform.history[known:]
        self._platform.late_starts.update((run.task, run.began_at) for run in late)

    def _cannot_be_prevented(self, path: str, body: dict[str, Any], born: int) -> bool:
        """Return whether no leader can prevent that a late start runs a task again.

        Its task is done, as the start had been repeated, and its lifetime has answered
        no call that was sent later.  docs/incidents/twice-59.md has the sequence.
        """
        if path != "/run-start" or born == self.server.entry.born:
            return False
        if self.server.answered_epoch > body["fence"]:
            return False
        return self._platform.task_is_done(body["task"])

    def entry(self, *, draining: bool = False) -> dict[str, Any]:
        """Return the store entry with which the server registers itself."""
        room = self.server.entry.capacity
        return {
            "service": SERVICE,
            "addr": self.address,
            "zone": self.server.entry.failure_domain,
            "state": "draining" if draining else "ready",
            "room": {"cpu": room.cpu_millis, "mem_mb": room.memory_mb},
            "labels": sorted(self.server.entry.labels),
            "born": self.server.entry.born,
        }

    def crash(self) -> None:
        """Crash the server, which loses its state, and cut its connections."""
        self.server.crash()
        self.cut()

    def cut(self) -> None:
        """Cut the server off; a share of the calls is carried out all the same."""
        self.cut_off = True
        self.relay.apply(RelayControl(cut_back=True))

    def reconnect(self) -> None:
        """Reset all connections and let new ones reach the server."""
        self.cut_off = False
        self.relay.reset_connections()
        self.relay.apply(RelayControl())

    def restart(
        self, capacity: Resources | None = None, entry_delay_s: float = 0.0
    ) -> None:
        """Reconnect the server and start a new lifetime under the same id.

        The lifetime may have another capacity, and its entry may be written late.
        """
        self.reconnect()
        self.server.restart(capacity, entry_delay_s=entry_delay_s)


class SoakPlatform(Site):
    """The store, the backend servers and the configuration of a run.

    `faulty` holds the backend servers with their relays by server id.  `late_starts`
    are those of `History`.  `crossed_calls` counts the calls by path that
    were meant for another lifetime than the one that carried them out.
    """

    def __init__(self, servers: int, seed: int) -> None:
        self.faulty: dict[str, FaultyServer] = {}
        super().__init__(servers, DOMAINS)
        # The check of the history knows the bound of each start that was not late.
        self.evacuation_s = EVACUATION_S + MAX_STRETCH_S + LATE_CALL_RANGE_S[1]
        self.late_starts: set[tuple[str, float]] = set()
        self.crossed_calls: Counter[str] = Counter()
        self.store_service = StoreService(self.store)
        self._version = 0
        self._seed = seed
        self.keys = set(KEYS)
        self.caps[customer_of(CAPPED_KEY)] = CAP

    def crash_for(
        self, server: FakeServer, seconds: float, *, new_id: bool = False
    ) -> None:
        """Crash a server under a deadly task; it is back under the same id."""
        faulty = self.faulty[server.entry.server_id]
        faulty.crash()
        self.call_later(seconds, lambda: None if server.up else faulty.restart())

    def leader(self) -> str:
        """Return the name of the front that is the leader, or was the last one."""
        owner = decode_owner(self.store.rows.get(f"{LEAD_PREFIX}owner"))
        return owner.node if owner else ""

    def register(self, server: FakeServer) -> None:
        """Write the entry of a server whose relay is already open."""
        faulty = self.faulty.get(server.entry.server_id)
        if faulty is not None:
            self.write_entry(faulty)

    def write_entry(self, faulty: FaultyServer, *, draining: bool = False) -> None:
        """Write the entry of a server into the store, if the server reaches it."""
        if not faulty.registers:
            return
        key = f"servers//{faulty.server.entry.server_id}"
        value = msgspec.json.encode(faulty.entry(draining=draining))
        self.store.apply([], [Write(key, value)])

    def is_done(self, job_id: str) -> bool:
        """Return whether a run of a job has ended `done`."""
        for server in self.servers.values():
            server.apply_due_events()
        return any(run.how is EndKind.DONE for run in self.starts_of(job_id))

    async def open(self, stack: AsyncExitStack) -> None:
        """Start and register all servers and store the first configuration."""
        for server_id, server in self.servers.items():
            rng = random.Random(f"{self._seed}/{server_id}")
            faulty = FaultyServer(server, self, rng)
            await faulty.open(stack)
            self.faulty[server_id] = faulty
            self.write_entry(faulty)
        self.configure()

    def configure(self) -> None:
        """Store a new version of the configuration with the valid keys."""
        self._version += 3
        tenants = [
            {
                "name": customer_of(key),
                "keys": [key] if key in self.keys else [],
                "cap": {"cpu": CAP.cpu_millis if key == CAPPED_KEY else 0},
            }
            for key in KEYS
        ]
        config = {
            "version": self._version,
            "routes": [
                {
                    "name": "batch",
                    "host": QUEUE_HOST,
                    "prefix": QUEUE_PREFIX,
                    "service": SERVICE,
                    "priority": 1,
                    "attempts": ATTEMPTS,
                    "stretch": 4.0,
                    "slo_ms": 3000,
                }
            ],
            "services": [{"name": SERVICE}],
            "tenants": [
                *({**each, "weight": 50} for each in tenants),
                {
                    "name": customer_of(OVERLOAD_KEY),
                    "keys": [OVERLOAD_KEY],
                    "weight": OVERLOAD_SHARE,
                },
            ],
        }
        value = msgspec.json.encode(config)
        self.store.apply([], [Write("op//config", value)])


def customer_of(key: str) -> str:
    """Return the name of the customer that a key belongs to."""
    return f"team-{key}"


async def open_relay(target: str, stack: AsyncExitStack) -> tuple[Relay, str]:
    """Start a relay to `target`; return it and its address."""
    relay = Relay([target], check=False)
    address = await relay.relay(LOOPBACK_ADDRESS)
    stack.push_async_callback(relay.close)
    return relay, address
