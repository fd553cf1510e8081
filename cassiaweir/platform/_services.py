"""Clients of the platform's object store, VM list and workers."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from urllib.parse import quote

import msgspec

from cassiaweir.exceptions import UnavailableError
from cassiaweir.platform._session import PlatformSession
from cassiaweir.platform.wire import (
    RenewRequest,
    StartRequest,
    StopRequest,
    VmsAnswer,
)
from cassiaweir.types import (
    Command,
    TaskId,
    TaskReport,
    TaskStart,
    Vm,
    Worker,
    WorkerReport,
)
from cassiaweir.verdict import Verdict

MILLISECOND = timedelta(milliseconds=1)
VMS_PATH = "/v1/vms"


class HttpObjectStore:
    """Implements the `ObjectStore` protocol over HTTP."""

    def __init__(self, session: PlatformSession, address: str) -> None:
        self._session = session
        self._address = address

    async def put(self, name: str, body: bytes) -> None:
        """Store `body` under `name`, replacing what was there."""
        await self._session.exchange("PUT", self._address, _object_path(name), body)

    async def get(self, name: str) -> bytes:
        """Return the body stored under `name`, or raise `NotFoundError`."""
        path = _object_path(name)
        return await self._session.exchange("GET", self._address, path, None)


class HttpVmList:
    """Implements the `VmList` protocol over HTTP.

    The list is large and seldom changes, so it is requested with its entity tag, and
    the service sends it only if it has changed.
    """

    def __init__(self, session: PlatformSession, address: str) -> None:
        self._session = session
        self._address = address
        self._entity_tag = ""
        self._vms: list[Vm] = []

    async def fetch(self) -> list[Vm]:
        """Return all VMs, or raise `UnavailableError`."""
        changed = await self._session.fetch_if_changed(
            self._address, VMS_PATH, self._entity_tag
        )
        if changed is not None:
            self._vms = _decode_vms(changed.body)
            self._entity_tag = changed.entity_tag
        return self._vms


class HttpWorkers:
    """Implements the `Workers` protocol over HTTP."""

    def __init__(self, session: PlatformSession) -> None:
        self._session = session

    def connect(self, vm: Vm) -> Worker:
        """Return the interface to the worker on `vm`."""
        return HttpWorker(self._session, vm.address)


class HttpWorker:
    """Implements the `Worker` protocol over HTTP."""

    def __init__(self, session: PlatformSession, address: str) -> None:
        self._session = session
        self._address = address

    async def list(self) -> WorkerReport:
        """Return the worker's report, without taking part in fencing."""
        return await self._call("/v1/list", None)

    async def renew(
        self, command: Command, lease: timedelta, ended: Sequence[TaskReport]
    ) -> WorkerReport:
        """Extend the lease of all tasks, drop `ended` attempts, return the report."""
        req = RenewRequest(command, lease.total_seconds(), [*ended])
        return await self._call("/v1/renew", req)

    async def start(
        self, command: Command, lease: timedelta, starts: Sequence[TaskStart]
    ) -> WorkerReport:
        """Start tasks; the report does not list those that the worker refused."""
        req = StartRequest(command, lease.total_seconds(), [*starts])
        return await self._call("/v1/start", req)

    async def stop(
        self, command: Command, tasks: Sequence[TaskId], *, checkpoint: bool
    ) -> WorkerReport:
        """Stop tasks, saving their state first where `checkpoint` is set."""
        return await self._call("/v1/stop", StopRequest(command, [*tasks], checkpoint))

    async def watch(self, revision: int, wait: timedelta) -> WorkerReport:
        """Return the report once its revision is above `revision`, or after `wait`."""
        path = f"/v1/watch?revision={revision}&wait_ms={wait // MILLISECOND}"
        timeout = wait + self._session.timeout
        return await self._session.call(
            self._address, path, None, WorkerReport, timeout=timeout
        )

    async def _call(self, path: str, req: msgspec.Struct | None) -> WorkerReport:
        return await self._session.call(self._address, path, req, WorkerReport)


def _decode_vms(body: bytes) -> list[Vm]:
    try:
        return msgspec.json.decode(body, type=VmsAnswer).vms
    except msgspec.DecodeError as exc:
        raise UnavailableError(
            f"cannot decode the VM list: {exc}", verdict=Verdict.NOT_RUN
        ) from exc


def _object_path(name: str) -> str:
    """Return the URL path of the object called `name`."""
    return f"/v1/objects/{quote(name, safe='')}"
