"""Routes calls to the store, directly or through a peer when direct calls fail.

The store may refuse some VMs while it serves the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol

from loguru import logger

from cassiaweir.exceptions import UnavailableError
from cassiaweir.observe import Metrics
from cassiaweir.peers._adaptive_timeout import AdaptiveTimeout
from cassiaweir.peers._store_recovery import StoreRecoveryMonitor
from cassiaweir.types import Clock
from cassiaweir.verdict import Verdict

DIRECT_CALL_PAUSE = timedelta(milliseconds=300)
"""After a failed direct call, calls go only through peers for this long."""

PEER_WRITE_MARGIN = timedelta(milliseconds=50)
PEER_READ_MARGIN = timedelta(milliseconds=400)
"""Added to the timeout of a call through a peer.

Reads get more, because a large answer crosses two links on its way.
"""

PEER_PAUSE = timedelta(seconds=1)
"""After a failed call through a peer, other peers are preferred for this long."""

MAX_PEER_FAILURES = 3
"""The store counts as unreachable after this many consecutive failures of peers."""

STATUS_BUSY = 429
STATUS_UNAVAILABLE = 503


class DirectCalls(Protocol):
    """Calls the store from this VM."""

    async def call(
        self, method: str, path: str, data: bytes | None, timeout: timedelta
    ) -> tuple[int, bytes]:
        """Return status and body, or raise `UnavailableError`."""

    async def ping(self, timeout: timedelta) -> bool:
        """Return whether the store serves this VM, or raise `UnavailableError`."""


class PeerCalls(Protocol):
    """Calls the store through other entry VMs."""

    async def relay(
        self,
        address: str,
        method: str,
        path: str,
        data: bytes | None,
        wait: timedelta,
        timeout: timedelta,
    ) -> tuple[int, bytes]:
        """Return status and body, or raise `UnavailableError`."""


class PeerList(Protocol):
    """Lists the other entry VMs."""

    def addresses(self) -> Sequence[str]:
        """Return their addresses."""


class _StoreRecoveredError(UnavailableError):
    """A call was abandoned because the store has recovered since it was sent."""

    def __init__(self) -> None:
        super().__init__(
            "call was sent during an outage of the store, which has ended",
            verdict=Verdict.MAY_HAVE_RUN,
        )


@dataclass(slots=True, eq=False)
class _InFlightCall:
    """A call in progress; `abandoned` is resolved to stop waiting for its answer."""

    sent_at: float
    abandoned: asyncio.Future[None]


class StoreRoute:
    """Sends calls to the store directly or through a peer, and relays peers' calls.

    A call with `data` is a write, one without is a read.  `wait` is how long the store
    may hold back its answer to a long poll.
    """

    def __init__(
        self, direct: DirectCalls, peers: PeerCalls, clock: Clock, metrics: Metrics
    ) -> None:
        self._metrics = metrics
        self._direct = direct
        self._peers = peers
        self._clock = clock
        self._peer_list: PeerList | None = None
        self._direct_paused_until = 0.0
        self._adaptive_timeout = AdaptiveTimeout()
        self._reachable = True
        self._peer_rotation = 0
        self._preferred_peer = ""
        self._peer_failures = 0
        self._peer_paused_until: dict[str, float] = {}
        self._in_flight: set[_InFlightCall] = set()
        self._recovery = StoreRecoveryMonitor(direct, clock, self._on_recovery)

    async def start(self) -> None:
        """Do nothing; there is nothing to prepare."""

    async def stop(self) -> None:
        """Stop watching for a recovery of the store."""
        await self._recovery.stop()

    def use_peers(self, peers: PeerList) -> None:
        """Set the peers to use when the store cannot be reached directly."""
        self._peer_list = peers

    @property
    def directly_reachable(self) -> bool:
        """Whether the store is reachable from this VM, as of the last direct call."""
        return self._reachable

    @property
    def store_unreachable(self) -> bool:
        """Whether the store is unreachable both directly and through several peers."""
        return not self._reachable and self._peer_failures >= MAX_PEER_FAILURES

    async def call(
        self, method: str, path: str, data: bytes | None, wait: timedelta
    ) -> tuple[int, bytes]:
        """Return status and body of the store's answer, directly or through a peer.

        A read that was abandoned because the store has recovered is sent again; a write
        is not, because it may have run.
        """
        try:
            return await self._try_call(method, path, data, wait)
        except _StoreRecoveredError:
            if data is not None:
                raise
        return await self._try_call(method, path, data, wait)

    async def _try_call(
        self, method: str, path: str, data: bytes | None, wait: timedelta
    ) -> tuple[int, bytes]:
        if self._reachable or self._clock.monotonic() >= self._direct_paused_until:
            try:
                return await self.relay(method, path, data, wait)
            except _StoreRecoveredError:
                raise
            except UnavailableError as exc:
                if data is not None and exc.verdict is not Verdict.NOT_RUN:
                    raise
                return await self._call_through_peer(method, path, data, wait, exc)
        paused = UnavailableError(
            "direct calls to the store are paused after a failure",
            verdict=Verdict.NOT_RUN,
        )
        return await self._call_through_peer(method, path, data, wait, paused)

    async def relay(
        self, method: str, path: str, data: bytes | None, wait: timedelta
    ) -> tuple[int, bytes]:
        """Call the store directly, for this process or on behalf of a peer."""
        now = self._clock.monotonic()
        if not self._reachable and now < self._direct_paused_until:
            raise UnavailableError(
                "direct calls to the store are paused after a failure",
                verdict=Verdict.NOT_RUN,
            )
        timeout = self._adaptive_timeout.timeout + wait
        try:
            status, body = await self._await_answer(
                self._direct.call(method, path, data, timeout)
            )
        except _StoreRecoveredError:
            self._metrics.count("store_calls", result="given_up")
            raise
        except UnavailableError as exc:
            self._metrics.count("store_calls", result="silent")
            self._adaptive_timeout.record_timeout()
            self._record_reachable(False, str(exc))
            self._recovery.watch()
            raise
        self._metrics.count("store_calls", result=str(status))
        if wait == timedelta(0):
            delay = self._clock.monotonic() - now
            self._metrics.observe("store_call", delay)
            self._adaptive_timeout.record_answer(timedelta(seconds=delay))
        self._check_status(status, writes=data is not None)
        return status, body

    async def _await_answer(
        self, call: Coroutine[Any, Any, tuple[int, bytes]]
    ) -> tuple[int, bytes]:
        """Wait for the answer of `call`.

        Raises `_StoreRecoveredError` if the store recovers before that.
        """
        task = asyncio.create_task(call)
        abandoned: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = _InFlightCall(self._clock.monotonic(), abandoned)
        self._in_flight.add(entry)
        try:
            awaited: set[asyncio.Future[Any]] = {task, abandoned}
            await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return task.result()
            raise _StoreRecoveredError
        finally:
            self._in_flight.discard(entry)
            task.cancel()

    def _on_recovery(self, sent_at: float) -> None:
        """Resume direct calls, and abandon calls sent before `sent_at`."""
        self._record_reachable(True, "")
        unanswered = [call for call in self._in_flight if call.sent_at < sent_at]
        for call in unanswered:
            if not call.abandoned.done():
                call.abandoned.set_result(None)

    def _check_status(self, status: int, *, writes: bool) -> None:
        """Raise `UnavailableError` if `status` says that the store refused the call.

        A write may be refused because the partition it goes to is busy.  That partition
        refuses all VMs, so the store then still counts as reachable from this one.
        """
        partition_may_be_busy = status == STATUS_BUSY and writes
        if status not in (STATUS_BUSY, STATUS_UNAVAILABLE):
            self._record_reachable(True, "")
            return
        if not partition_may_be_busy:
            self._record_reachable(False, f"status {status}")
        raise UnavailableError(
            f"store refused the call with status {status}", verdict=Verdict.NOT_RUN
        )

    async def _call_through_peer(
        self,
        method: str,
        path: str,
        data: bytes | None,
        wait: timedelta,
        cause: UnavailableError,
    ) -> tuple[int, bytes]:
        """Try one peer: the one that last succeeded, else the next in rotation.

        Raises `cause` if there is no peer.
        """
        address = self._choose_peer()
        if not address:
            raise cause
        margin = PEER_WRITE_MARGIN if data is not None else PEER_READ_MARGIN
        timeout = self._adaptive_timeout.timeout + wait + margin
        try:
            answer = await self._await_answer(
                self._peers.relay(address, method, path, data, wait, timeout)
            )
        except _StoreRecoveredError:
            raise
        except UnavailableError:
            self._record_peer_failure(address)
            raise
        self._preferred_peer = address
        self._peer_failures = 0
        return answer

    def _record_peer_failure(self, address: str) -> None:
        until = self._clock.monotonic() + PEER_PAUSE.total_seconds()
        self._peer_paused_until[address] = until
        self._peer_failures += 1
        if self._preferred_peer == address:
            self._preferred_peer = ""

    def _choose_peer(self) -> str:
        peer_addresses = (
            list(self._peer_list.addresses()) if self._peer_list is not None else []
        )
        if not peer_addresses or self._preferred_peer in peer_addresses:
            return self._preferred_peer if peer_addresses else ""
        now = self._clock.monotonic()
        available = [
            address
            for address in peer_addresses
            if self._peer_paused_until.get(address, 0.0) <= now
        ]
        self._peer_rotation += 1
        candidates = available or peer_addresses
        return candidates[self._peer_rotation % len(candidates)]

    def _record_reachable(self, reachable: bool, cause: str) -> None:
        if not reachable:
            pause = DIRECT_CALL_PAUSE.total_seconds()
            self._direct_paused_until = self._clock.monotonic() + pause
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            logger.info("store_regained")
        else:
            logger.warning("store_lost", cause=cause)
