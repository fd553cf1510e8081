"""The simulated object store."""

from __future__ import annotations

import msgspec
from aiohttp import web

from cassiaweir.platform.wire import ProblemKind
from standins._http import Service, problem, response


class ObjectStats(msgspec.Struct):
    """The number of objects held, and of requests since the start."""

    objects: int
    puts: int
    gets: int


class ObjectService(Service):
    """Serves objects from memory over HTTP."""

    def __init__(self) -> None:
        super().__init__()
        self._objects: dict[str, bytes] = {}
        self._puts = 0
        self._gets = 0
        self.app.router.add_put("/v1/objects/{name:.+}", self._put)
        self.app.router.add_get("/v1/objects/{name:.+}", self._get)
        self.app.router.add_get("/v1/stats", self._stats)

    async def _put(self, req: web.Request) -> web.Response:
        self._objects[req.match_info["name"]] = await req.read()
        self._puts += 1
        return web.Response()

    async def _get(self, req: web.Request) -> web.Response:
        self._gets += 1
        body = self._objects.get(req.match_info["name"])
        if body is None:
            return problem(ProblemKind.NOT_FOUND, "object not found")
        return web.Response(body=body)

    async def _stats(self, req: web.Request) -> web.Response:
        return response(ObjectStats(len(self._objects), self._puts, self._gets))
