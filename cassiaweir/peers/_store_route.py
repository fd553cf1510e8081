"""Calls to the store: directly, or through a peer where that does not work.

The store may turn some machines away while it serves the others.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

from loguru import logger

from cassiaweir.exceptions import UnavailableError
from cassiaweir.types import Clock
from cassiaweir.verdict import Verdict

PAUSE = timedelta(milliseconds=800)
"""After a direct call failed, peers are asked first for so long."""

MOST_PEERS_ASKED = 3
STATUSES_TURNED_AWAY = (429, 503)


class DirectCalls(Protocol):
    """Calls the store from this machine."""

    async def call(
        self, method: str, path: str, data: bytes | None, timeout: timedelta
    ) -> tuple[int, bytes]:
        """Return status and body, or raise `UnavailableError`."""


class PeerCalls(Protocol):
    """Calls the store through other machines."""

    async def relay(
        self,
        address: str,
        method: str,
        path: str,
        data: bytes | None,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        """Return status and body, or raise `UnavailableError`."""


class PeerList(Protocol):
    """Lists the other machines."""

    def addresses(self) -> Sequence[str]:
        """Return their addresses."""


class StoreRoute:
    """Finds a way to the store for each call, and relays the calls of peers."""

    def __init__(self, direct: DirectCalls, peers: PeerCalls, clock: Clock) -> None:
        self._direct = direct
        self._peers = peers
        self._clock = clock
        self._list: PeerList | None = None
        self._paused_until = 0.0
        self._reachable = True
        self._good_peer = ""
        self._peers_failed = False

    def use_peers(self, peers: PeerList) -> None:
        """Use `peers` where the store cannot be reached directly."""
        self._list = peers

    @property
    def reachable(self) -> bool:
        """Whether the store answered the last direct call."""
        return self._reachable

    @property
    def cut_off(self) -> bool:
        """Whether neither the last direct call nor the last one by peers worked."""
        return not self._reachable and self._peers_failed

    async def call(
        self, method: str, path: str, data: bytes | None, timeout: timedelta
    ) -> tuple[int, bytes]:
        """Return status and body of the store's answer, by whatever way works."""
        if self._reachable or self._clock.monotonic() >= self._paused_until:
            try:
                return await self.relay(method, path, data, timeout)
            except UnavailableError as exc:
                if data is not None and exc.verdict is not Verdict.NOT_RUN:
                    raise
                return await self._call_by_peer(method, path, data, timeout, exc)
        paused = UnavailableError("store is not reached", verdict=Verdict.NOT_RUN)
        return await self._call_by_peer(method, path, data, timeout, paused)

    async def relay(
        self, method: str, path: str, data: bytes | None, timeout: timedelta
    ) -> tuple[int, bytes]:
        """Call the store directly, for this process or for a peer."""
        now = self._clock.monotonic()
        if not self._reachable and now < self._paused_until:
            raise UnavailableError("store is not reached", verdict=Verdict.NOT_RUN)
        try:
            status, body = await self._direct.call(method, path, data, timeout)
        except UnavailableError as exc:
            self._note(False, str(exc))
            raise
        if status in STATUSES_TURNED_AWAY:
            self._note(False, f"status {status}")
            raise UnavailableError(f"store answered {status}", verdict=Verdict.NOT_RUN)
        self._note(True, "")
        return status, body

    async def _call_by_peer(
        self,
        method: str,
        path: str,
        data: bytes | None,
        timeout: timedelta,
        cause: UnavailableError,
    ) -> tuple[int, bytes]:
        """Try some peers, the one that worked last first."""
        for address in self._peers_in_order():
            try:
                answer = await self._peers.relay(
                    address, method, path, data, timeout.total_seconds()
                )
            except UnavailableError as exc:
                cause = exc
                if self._good_peer == address:
                    self._good_peer = ""
                if data is not None and exc.verdict is not Verdict.NOT_RUN:
                    raise
                continue
            self._good_peer = address
            self._peers_failed = False
            return answer
        self._peers_failed = True
        raise cause

    def _peers_in_order(self) -> list[str]:
        found = list(self._list.addresses()) if self._list is not None else []
        if self._good_peer in found:
            found.remove(self._good_peer)
            found.insert(0, self._good_peer)
        elif found:
            # Starts at another peer each time, so that one bad peer is not met always.
            shift = int(self._clock.monotonic() * 10) % len(found)
            found = found[shift:] + found[:shift]
        return found[:MOST_PEERS_ASKED]

    def _note(self, reachable: bool, cause: str) -> None:
        if not reachable:
            pause = PAUSE.total_seconds()
            self._paused_until = self._clock.monotonic() + pause
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            logger.info("store_regained")
        else:
            logger.warning("store_lost", cause=cause)
