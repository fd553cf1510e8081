"""Queries all processes of the cell for their configuration versions and texts."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

import grpc

from cassiaweir.administration._fleet_messages import (
    ProcessInfo,
    ProcessText,
)
from cassiaweir.exceptions import NotFoundError
from cassiaweir.rpc import cell_pb2, cell_pb2_grpc
from cassiaweir.rpc._peer import UNKNOWN_AGE_MS
from cassiaweir.rpc._server import Channels

CALL_TIMEOUT = timedelta(seconds=2)
MILLISECONDS_PER_SECOND = 1_000
# A process sends content only if its version is higher than the requested one.  None is
# higher than this, so that the answer holds just the versions.
VERSION_ABOVE_ALL = 2**63


@dataclass(frozen=True, slots=True)
class ProcessAddress:
    """A process and the address of its gRPC server."""

    process: str
    role: str
    vm: str
    failure_domain: str
    address: str


class ProcessProbe:
    """Calls each process directly, as news spread by heartbeats may take seconds.

    `list_processes` returns every process of the cell, including this one.
    """

    def __init__(
        self,
        list_processes: Callable[[], Awaitable[Sequence[ProcessAddress]]],
        channels: Channels,
    ) -> None:
        self._list_processes = list_processes
        self._channels = channels

    async def fetch_versions(self) -> list[ProcessInfo]:
        """Return every process, in the order of names, with its versions in force."""
        processes = await self._sorted_processes()
        return list(
            await asyncio.gather(
                *(self._fetch_process_info(item) for item in processes)
            )
        )

    async def fetch_texts(self, name: str, process: str = "") -> list[ProcessText]:
        """Return the text called `name`, such as `metrics`, of every process or of one.

        Raises `NotFoundError` if no process is called `process`.
        """
        wanted = [
            item
            for item in await self._sorted_processes()
            if process in ("", item.process)
        ]
        if not wanted:
            raise NotFoundError(f"no process is called {process!r}")
        return list(
            await asyncio.gather(*(self._fetch_text(item, name) for item in wanted))
        )

    async def _sorted_processes(self) -> list[ProcessAddress]:
        found = await self._list_processes()
        return sorted(found, key=lambda item: item.process)

    async def _fetch_process_info(self, item: ProcessAddress) -> ProcessInfo:
        request = cell_pb2.ViewRequest(
            bundle_version=VERSION_ABOVE_ALL, keys_version=VERSION_ABOVE_ALL
        )
        try:
            answer = await self._stub(item).FetchView(request, timeout=_timeout())
        except grpc.aio.AioRpcError:
            return _process_info(item, answered=False)
        age = None
        if answer.view_age_ms < UNKNOWN_AGE_MS:
            age = answer.view_age_ms / MILLISECONDS_PER_SECOND
        return _process_info(
            item,
            answered=True,
            bundle_version=answer.bundle_version,
            keys_version=answer.keys_version,
            view_age_seconds=age,
        )

    async def _fetch_text(self, item: ProcessAddress, name: str) -> ProcessText:
        request = cell_pb2.TextRequest(name=name)
        try:
            answer = await self._stub(item).Text(request, timeout=_timeout())
        except grpc.aio.AioRpcError:
            return ProcessText(process=item.process, answered=False)
        return ProcessText(process=item.process, answered=True, text=answer.text)

    def _stub(self, item: ProcessAddress) -> cell_pb2_grpc.PeerStub:
        return cell_pb2_grpc.PeerStub(self._channels.get(item.address))


def _timeout() -> float:
    return CALL_TIMEOUT.total_seconds()


def _process_info(
    item: ProcessAddress,
    *,
    answered: bool,
    bundle_version: int = 0,
    keys_version: int = 0,
    view_age_seconds: float | None = None,
) -> ProcessInfo:
    return ProcessInfo(
        process=item.process,
        role=item.role,
        vm=item.vm,
        failure_domain=item.failure_domain,
        answered=answered,
        bundle_version=bundle_version,
        keys_version=keys_version,
        view_age_seconds=view_age_seconds,
    )
