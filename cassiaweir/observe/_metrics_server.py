"""Serves the metrics of a process as text over HTTP."""

from __future__ import annotations

from aiohttp import web

from cassiaweir.observe._metrics import Metrics

METRICS_PATH = "/metrics"


class MetricsServer:
    """Serves `METRICS_PATH` on `address`, given as `host:port`."""

    def __init__(self, address: str, metrics: Metrics) -> None:
        self._address = address
        self._metrics = metrics
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start to listen."""
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self._runner.setup()
        host, _, port = self._address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        if req.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(text=self._metrics.render())
