"""The simulated list of VMs, which shows changes with a lag."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from enum import StrEnum

import msgspec
import xxhash
from aiohttp import web

from cassiaweir.platform.wire import ProblemKind, VmsAnswer
from cassiaweir.types import Vm, VmState
from standins._http import Service, json_response, problem, read_body, response


class VmAction(StrEnum):
    """A kind of change of the list."""

    ADD = "add"
    REMOVE = "remove"
    LEAVE = "leave"
    REPLACE = "replace"


class VmChange(msgspec.Struct, forbid_unknown_fields=True):
    """A requested change of the list.

    `add` needs `vm`, the other actions `name`.  `replace` takes the new incarnation
    from `incarnation`, or generates one if it is empty.
    """

    action: VmAction
    name: str = ""
    vm: Vm | None = None
    incarnation: str = ""


class VmRegistry:
    """The list of VMs; readers see it as it was `lag` seconds ago."""

    def __init__(
        self, lag: float = 0.0, now: Callable[[], float] = time.monotonic
    ) -> None:
        self.lag = lag
        self._now = now
        self._vms: dict[str, Vm] = {}
        self._history: deque[tuple[float, list[Vm]]] = deque()
        self._replacements = 0

    def add(self, vm: Vm) -> None:
        """Add or change a VM."""
        self._vms[vm.name] = vm
        self._record_history()

    def remove(self, name: str) -> None:
        """Remove a VM."""
        self._vms.pop(name, None)
        self._record_history()

    def leave(self, name: str) -> None:
        """Mark a VM as leaving."""
        self.add(replace(self._vms[name], state=VmState.LEAVING))

    def replace(self, name: str, incarnation: str = "") -> Vm:
        """Replace a VM by a new, live incarnation and return its entry."""
        self._replacements += 1
        vm = replace(
            self._vms[name],
            incarnation=incarnation or f"{name}.{self._replacements}",
            state=VmState.LIVE,
        )
        self.add(vm)
        return vm

    def get(self, name: str) -> Vm | None:
        """Return the present entry of a VM, without the lag."""
        return self._vms.get(name)

    def visible_vms(self) -> list[Vm]:
        """Return the list as readers see it now, with the lag."""
        horizon = self._now() - self.lag
        while len(self._history) > 1 and self._history[1][0] <= horizon:
            self._history.popleft()
        return self._history[0][1] if self._history else []

    def forget_history(self) -> None:
        """Drop earlier states, so that readers see the present list at once."""
        self._history.clear()
        self._record_history()

    def _record_history(self) -> None:
        self._history.append((self._now(), list(self._vms.values())))


class VmListService(Service):
    """Serves a `VmRegistry` over HTTP and accepts changes to it."""

    def __init__(self, registry: VmRegistry) -> None:
        super().__init__()
        self.registry = registry
        self.app.router.add_get("/v1/vms", self._list)
        self.app.router.add_post("/v1/control/vms", self._change)
        self.app.router.add_post("/v1/control/lag", self._set_lag)

    async def _list(self, req: web.Request) -> web.Response:
        body = msgspec.json.encode(VmsAnswer(self.registry.visible_vms()))
        tag = xxhash.xxh3_64_hexdigest(body)
        if req.if_none_match and tag in {etag.value for etag in req.if_none_match}:
            return web.Response(status=304, headers={"ETag": f'"{tag}"'})
        return json_response(body, tag=tag)

    async def _set_lag(self, req: web.Request) -> web.Response:
        self.registry.lag = await read_body(req, float)
        return response(self.registry.lag)

    async def _change(self, req: web.Request) -> web.Response:
        change = await read_body(req, VmChange)
        name = change.vm.name if change.vm else change.name
        if change.action is VmAction.ADD and change.vm is not None:
            self.registry.add(change.vm)
            return response(self.registry.get(name))
        if self.registry.get(name) is None:
            return problem(ProblemKind.NOT_FOUND, f"no VM named {name}")
        match change.action:
            case VmAction.REMOVE:
                self.registry.remove(name)
            case VmAction.LEAVE:
                self.registry.leave(name)
            case VmAction.REPLACE:
                self.registry.replace(name, change.incarnation)
            case VmAction.ADD:
                return problem(
                    ProblemKind.INVALID, "the action `add` needs the field `vm`"
                )
        return response(self.registry.get(name))
