"""The platform that the soak offers: store and servers behind relays that can fail."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import web

from cassiaweir.types import Write
from standins._relay import Relay, RelayControl
from standins.users import (
    SERVER_SIZE,
    SERVICE,
    FakeServer,
    ServerService,
    Site,
    StoreService,
    listening,
)

LOOPBACK = "127.0.0.1:0"
LATE_S = (1.0, 4.0)
LATE_ORDER_S = (2.0, 6.0)
HANGING_S = 60.0
PREFIX = "/jobs/"
HOST = "soak.example"
KEYS = ("key-0", "key-1", "key-2", "key-3")


@dataclass(slots=True)
class StoreFaults:
    """How one VM's calls to the store fail.

    `refused` answers 503; a share `lost` of the writes is done and not answered, a
    share `late` is done seconds later; answers take `slow_s` longer.
    """

    refused: bool = False
    lost: float = 0.0
    late: float = 0.0
    slow_s: float = 0.0


class FaultyStore:
    """One VM's way to the store of all."""

    def __init__(self, service: StoreService, rng: random.Random) -> None:
        self.faults = StoreFaults()
        self._service = service
        self._rng = rng
        self._late: set[asyncio.Task[None]] = set()

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer one call, or fail as the faults say."""
        faults = self.faults
        if faults.refused:
            return web.Response(status=503)
        await asyncio.sleep(faults.slow_s)
        writes = req.path == "/rows-tx"
        if writes and self._rng.random() < faults.late:
            await req.read()
            task = asyncio.create_task(self._carry_out_late(req))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(HANGING_S)
        resp = await self._service.handle(req)
        if writes and self._rng.random() < faults.lost:
            await asyncio.sleep(HANGING_S)
        return resp

    async def _carry_out_late(self, req: web.BaseRequest) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_S))
        await self._service.handle(req)


class FaultyServer:
    """A backend server behind a relay; a share `late` of the starts comes late."""

    def __init__(self, server: FakeServer, rng: random.Random) -> None:
        self.server = server
        self.late = 0.0
        self.address = ""
        self.relay: Relay
        self._service = ServerService(server)
        self._rng = rng

    async def open(self, stack: AsyncExitStack) -> None:
        """Listen, and relay from the address that is registered."""
        real = await stack.enter_async_context(listening(self._handle))
        self.relay, self.address = await open_relay(real, stack)

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        late = req.path == "/run-start" and self._rng.random() < self.late
        if not late:
            return await self._service.handle(req)
        body = msgspec.json.decode(await req.read())
        born = self.server.entry.born
        delay = self._rng.uniform(*LATE_ORDER_S)
        self.server.site.call_later(
            delay, lambda: self.server.start_late(ServerService.order(body), born)
        )
        await asyncio.sleep(HANGING_S)
        return web.Response(status=503)

    def entry(self, *, draining: bool = False) -> dict[str, Any]:
        """Return the entry that the server writes of itself."""
        return {
            "service": SERVICE,
            "addr": self.address,
            "zone": "augusta",
            "state": "draining" if draining else "ready",
            "room": {"cpu": SERVER_SIZE.cpu_millis, "mem_mb": SERVER_SIZE.memory_mb},
            "labels": sorted(self.server.entry.labels),
            "born": self.server.entry.born,
        }

    def crash(self) -> None:
        """Lose everything and go dark."""
        self.server.crash()
        self.relay.apply(RelayControl(cut_forward=True, cut_back=True))

    def restart(self) -> None:
        """Begin another lifetime under the same id."""
        self.relay.reset_connections()
        self.relay.apply(RelayControl())
        self.server.restart()


class World(Site):
    """Store, servers and configuration of a run."""

    def __init__(self, servers: int, seed: int) -> None:
        self.faulty: dict[str, FaultyServer] = {}
        super().__init__(servers)
        self.store_service = StoreService(self.store)
        self._version = 0
        self._seed = seed
        self.keys = set(KEYS)

    def register(self, server: FakeServer) -> None:
        """Write the entry of a server whose address is known."""
        faulty = self.faulty.get(server.entry.server_id)
        if faulty is not None:
            self.write_entry(faulty)

    def write_entry(self, faulty: FaultyServer, *, draining: bool = False) -> None:
        """Write a server's entry into the store."""
        key = f"servers//{faulty.server.entry.server_id}"
        value = msgspec.json.encode(faulty.entry(draining=draining))
        self.store.apply([], [Write(key, value)])

    async def open(self, stack: AsyncExitStack) -> None:
        """Open all servers and store the first configuration."""
        for server_id, server in self.servers.items():
            rng = random.Random(f"{self._seed}/{server_id}")
            faulty = FaultyServer(server, rng)
            await faulty.open(stack)
            self.faulty[server_id] = faulty
            self.write_entry(faulty)
        self.configure()

    def configure(self) -> None:
        """Store a new version of the configuration with the keys in force."""
        self._version += 3
        tenants = [
            {"name": f"team-{key}", "keys": [key] if key in self.keys else []}
            for key in KEYS
        ]
        config = {
            "version": self._version,
            "routes": [
                {
                    "name": "batch",
                    "host": HOST,
                    "prefix": PREFIX,
                    "service": SERVICE,
                    "priority": 1,
                    "attempts": 3,
                    "stretch": 4.0,
                    "slo_ms": 3000,
                }
            ],
            "services": [{"name": SERVICE}],
            "tenants": [{**each, "weight": 50} for each in tenants],
        }
        value = msgspec.json.encode(config)
        self.store.apply([], [Write("op//config", value)])


async def open_relay(target: str, stack: AsyncExitStack) -> tuple[Relay, str]:
    """Return a relay to `target` and its address."""
    relay = Relay([target], check=False)
    address = await relay.relay(LOOPBACK)
    stack.push_async_callback(relay.close)
    return relay, address
