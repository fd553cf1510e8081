"""Servers and fakes shared by the tests of the request path."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from datetime import timedelta

from aiohttp import web

from cassiaweir.api import GatewayServer, RequestApi
from cassiaweir.clock import SystemClock
from cassiaweir.exceptions import NotFoundError, RefusedError
from cassiaweir.observe import EventLog, Metrics
from cassiaweir.requests import Claims, HttpBackendClient, Router
from cassiaweir.requests._models import ServiceRequest, Slot, SlotOutcome
from cassiaweir.settings import Settings
from cassiaweir.types import Queue, Team
from standins.memory import MemoryTable

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

KEYS = {"key-customs": "customs", "key-deck": "deck"}


class FakeView:
    """A cell view with keys of two teams, two keyed queues and an open one."""

    bundle_version = 1
    keys_version = 1

    def age(self) -> timedelta:
        return timedelta()

    def teams(self) -> Sequence[Team]:
        return []

    def team(self, name: str) -> Team | None:
        return None

    def queue(self, name: str) -> Queue | None:
        queues = {
            "inventory": Queue("inventory", False),
            "payouts": Queue("payouts", False),
        }
        if name == "spot":
            return Queue("spot", True, "public")
        return queues.get(name)

    def service_queues(self, service: str) -> Sequence[str]:
        return {"inventory": ("inventory", "spot"), "payouts": ("payouts",)}.get(
            service, ()
        )

    def authenticate(self, secret: str) -> str:
        if secret not in KEYS:
            raise RefusedError("key_unknown", "the key is unknown")
        return KEYS[secret]


class MemoryObjects:
    """Implements the `ObjectStore` protocol."""

    def __init__(self) -> None:
        self.bodies: dict[str, bytes] = {}

    async def put(self, name: str, body: bytes) -> None:
        self.bodies[name] = body

    async def get(self, name: str) -> bytes:
        if name not in self.bodies:
            raise NotFoundError(name)
        return self.bodies[name]


class FakeSlots:
    """Grants slots of backend servers at fixed addresses and records releases."""

    def __init__(self, *addresses: str) -> None:
        self.addresses = addresses
        self.releases: list[tuple[str, SlotOutcome]] = []
        self.tickets = 0

    async def acquire(self, req: ServiceRequest, avoid: frozenset[str]) -> Slot:
        self.tickets += 1
        for address in self.addresses:
            if address not in avoid:
                return Slot(self.tickets, "owner", "shard", address, address, 1e9)
        raise RefusedError("no_backend", "none", retry_after=timedelta(seconds=2))

    def release(self, slot: Slot, outcome: SlotOutcome) -> None:
        self.releases.append((slot.backend, outcome))


class BackendServer:
    """A backend server with the handler of a test.

    Records the bodies that it received and the addresses of its peers.
    """

    def __init__(self, handler: Handler | None = None) -> None:
        self.handler = handler or self.echo
        self.bodies: list[bytes] = []
        self.peers: list[tuple] = []

    async def echo(self, request: web.Request) -> web.Response:
        body = await request.read()
        request_id = request.headers["Cassiaweir-Request-Id"]
        return web.Response(
            body=b"whole:" + body, headers={"Cassiaweir-Request-Id": request_id}
        )

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        self.bodies.append(await request.read())
        self.peers.append(request.transport.get_extra_info("peername"))
        return await self.handler(request)

    @asynccontextmanager
    async def running(self):
        app = web.Application()
        app.router.add_post("/{service}", self._handle)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        try:
            yield f"{host}:{port}"
        finally:
            await runner.cleanup()


@asynccontextmanager
async def raw_server(answer: Callable[[bytes], bytes], *, close: bool = True):
    """Run a server that responds to each request head with the bytes of `answer`."""

    async def handle(reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.partition(b":")[2])
                await reader.readexactly(length)
                writer.write(answer(head))
                await writer.drain()
                if close:
                    break
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    try:
        yield f"{host}:{port}"
    finally:
        server.close()


def make_claims(table: MemoryTable, objects: MemoryObjects | None = None) -> Claims:
    clock = SystemClock()
    return Claims(
        table,
        table,
        objects or MemoryObjects(),
        process="gateway-1",
        clock=clock,
        events=EventLog("gateway-1", clock),
    )


def make_router(slots, backends, claims: Claims) -> Router:
    clock = SystemClock()
    return Router(
        slots,
        backends,
        claims,
        clock=clock,
        events=EventLog("gateway-1", clock),
        metrics=Metrics(),
    )


def make_backend_client() -> HttpBackendClient:
    return HttpBackendClient(gateways=lambda: 7, clock=SystemClock())


def make_settings(*overrides: str) -> Settings:
    return Settings.load(
        overrides=[
            "vm.name=augusta-1",
            "vm.failure_domain=augusta",
            "vm.deployment=sicilia-est",
            "platform.table=127.0.0.1:1",
            "platform.objects=127.0.0.1:2",
            "platform.vms=127.0.0.1:3",
            "cell.failure_domains=augusta",
            "gateway.listen=127.0.0.1:0",
            "gateway.drain_notice=0ms",
            *overrides,
        ]
    )


@asynccontextmanager
async def running_gateway(router: Router, *overrides: str, clock=None):
    """Run an HTTP front over `router`."""
    clock = clock or SystemClock()
    settings = make_settings(*overrides)
    api = RequestApi(
        FakeView(),
        router,
        max_request_time=settings.gateway_request_timeout,
        clock=clock,
    )
    front = GatewayServer(
        settings,
        [api.blueprint()],
        EventLog("gateway-1", clock),
        Metrics(),
        clock=clock,
    )
    await front.start()
    try:
        yield front
    finally:
        await front.stop()


def make_request(**changes) -> ServiceRequest:
    values = {
        "request_id": "r1",
        "service": "inventory",
        "team": "customs",
        "body": b"gauge",
        "deadline": SystemClock().monotonic() + 10,
        "idempotency_key": "k1",
    }
    return ServiceRequest(**(values | changes))
