"""Serves the metrics of a process, and other pages for operators, over HTTP."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from aiohttp import web

from cassiaweir.http_limits import (
    DEFAULT_LIMITS,
    BoundedServer,
    ListenerLimits,
    Refusals,
)
from cassiaweir.observe._metrics import Metrics

METRICS_PATH = "/metrics"

Page = Callable[[], str]
"""Returns the JSON text of a page, after it has done what the page is for."""


class MetricsServer:
    """Serves `METRICS_PATH` on `address`, given as `host:port`.

    `pages` are further pages by method and path.  `limits` bound what clients may use.
    """

    def __init__(
        self,
        address: str,
        metrics: Metrics,
        pages: Mapping[tuple[str, str], Page] | None = None,
        limits: ListenerLimits = DEFAULT_LIMITS.operators,
    ) -> None:
        self._limits = limits
        self._address = address
        self._metrics = metrics
        self._pages = dict(pages or {})
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start to listen."""
        refusals = Refusals(self._metrics)
        server = BoundedServer(self._handle, "metrics", self._limits, refusals)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        host, _, port = self._address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        page = self._pages.get((req.method, req.path))
        if page is not None:
            return web.Response(text=page(), content_type="application/json")
        if any(path == req.path for _, path in self._pages):
            return web.Response(status=405)
        if req.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(text=self._metrics.render())
