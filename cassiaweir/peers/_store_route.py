"""Calls to the store: directly, or through a peer where that does not work.

The store may turn some machines away while it serves the others.
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

PAUSE = timedelta(milliseconds=300)
"""After a direct call failed, peers are asked first for so long."""

PEER_MARGIN = timedelta(milliseconds=50)
READ_MARGIN = timedelta(milliseconds=400)
"""A large answer crosses two links on its way through a peer."""

PEER_PAUSE = timedelta(seconds=1)
"""A peer that could not help is left alone for so long."""

PEERS_TO_GIVE_UP = 3
"""The store counts as out of reach after so many peers in a row could not help."""

STATUS_BUSY = 429
STATUS_UNAVAILABLE = 503


class DirectCalls(Protocol):
    """Calls the store from this machine."""

    async def call(
        self, method: str, path: str, data: bytes | None, timeout: timedelta
    ) -> tuple[int, bytes]:
        """Return status and body, or raise `UnavailableError`."""

    async def ping(self, timeout: timedelta) -> bool:
        """Tell whether the store serves this machine, or raise `UnavailableError`."""


class PeerCalls(Protocol):
    """Calls the store through other machines."""

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
    """Lists the other machines."""

    def addresses(self) -> Sequence[str]:
        """Return their addresses."""


class _StoreRecoveredError(UnavailableError):
    """A call was given up because the store answers others again."""

    def __init__(self) -> None:
        super().__init__(
            "sent while the store was silent, which has returned",
            verdict=Verdict.MAY_HAVE_RUN,
        )


@dataclass(slots=True, eq=False)
class _InFlight:
    """A call under way; `given_up` is set where its answer is not waited for."""

    sent_at: float
    given_up: asyncio.Future[None]


class StoreRoute:
    """Finds a way to the store for each call, and relays the calls of peers.

    `wait` is how long the store itself may hold an answer back.
    """

    def __init__(
        self, direct: DirectCalls, peers: PeerCalls, clock: Clock, metrics: Metrics
    ) -> None:
        self._metrics = metrics
        self._direct = direct
        self._peers = peers
        self._clock = clock
        self._list: PeerList | None = None
        self._paused_until = 0.0
        self._patience = AdaptiveTimeout()
        self._reachable = True
        self._turn = 0
        self._good_peer = ""
        self._peers_failed = 0
        self._peers_paused: dict[str, float] = {}
        self._in_flight: set[_InFlight] = set()
        self._return = StoreRecoveryMonitor(direct, clock, self._note_return)

    async def start(self) -> None:
        """Do nothing; calls are made when they are asked for."""

    async def stop(self) -> None:
        """End what goes on in the background."""
        await self._return.stop()

    def use_peers(self, peers: PeerList) -> None:
        """Use `peers` where the store cannot be reached directly."""
        self._list = peers

    @property
    def directly_reachable(self) -> bool:
        """Whether the store answered the last direct call."""
        return self._reachable

    @property
    def store_unreachable(self) -> bool:
        """Whether the store is out of reach directly and by several peers."""
        return not self._reachable and self._peers_failed >= PEERS_TO_GIVE_UP

    async def call(
        self, method: str, path: str, data: bytes | None, wait: timedelta
    ) -> tuple[int, bytes]:
        """Return status and body of the store's answer, by whatever way works.

        A read that the store's return has overtaken is sent again.
        """
        try:
            return await self._call_once(method, path, data, wait)
        except _StoreRecoveredError:
            if data is not None:
                raise
        return await self._call_once(method, path, data, wait)

    async def _call_once(
        self, method: str, path: str, data: bytes | None, wait: timedelta
    ) -> tuple[int, bytes]:
        if self._reachable or self._clock.monotonic() >= self._paused_until:
            try:
                return await self.relay(method, path, data, wait)
            except _StoreRecoveredError:
                raise
            except UnavailableError as exc:
                if data is not None and exc.verdict is not Verdict.NOT_RUN:
                    raise
                return await self._call_by_peer(method, path, data, wait, exc)
        paused = UnavailableError("store is not reached", verdict=Verdict.NOT_RUN)
        return await self._call_by_peer(method, path, data, wait, paused)

    async def relay(
        self, method: str, path: str, data: bytes | None, wait: timedelta
    ) -> tuple[int, bytes]:
        """Call the store directly, for this process or for a peer."""
        now = self._clock.monotonic()
        if not self._reachable and now < self._paused_until:
            raise UnavailableError("store is not reached", verdict=Verdict.NOT_RUN)
        timeout = self._patience.timeout + wait
        try:
            status, body = await self._carry(
                self._direct.call(method, path, data, timeout)
            )
        except _StoreRecoveredError:
            self._metrics.count("store_calls", result="given_up")
            raise
        except UnavailableError as exc:
            self._metrics.count("store_calls", result="silent")
            self._patience.record_timeout()
            self._note(False, str(exc))
            self._return.watch()
            raise
        self._metrics.count("store_calls", result=str(status))
        if wait == timedelta(0):
            delay = self._clock.monotonic() - now
            self._metrics.observe("store_call", delay)
            self._patience.record_answer(timedelta(seconds=delay))
        self._judge(status, writes=data is not None)
        return status, body

    async def _carry(
        self, call: Coroutine[Any, Any, tuple[int, bytes]]
    ) -> tuple[int, bytes]:
        """Wait for the answer of `call`, unless the store's return overtakes it."""
        task = asyncio.create_task(call)
        given_up: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = _InFlight(self._clock.monotonic(), given_up)
        self._in_flight.add(entry)
        try:
            first: set[asyncio.Future[Any]] = {task, given_up}
            await asyncio.wait(first, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return task.result()
            raise _StoreRecoveredError
        finally:
            self._in_flight.discard(entry)
            task.cancel()

    def _note_return(self, sent_at: float) -> None:
        """Use the store again and give up the calls that its silence has swallowed."""
        self._note(True, "")
        overtaken = [each for each in self._in_flight if each.sent_at < sent_at]
        for each in overtaken:
            if not each.given_up.done():
                each.given_up.set_result(None)

    def _judge(self, status: int, *, writes: bool) -> None:
        """Raise where the store has turned a call away.

        A busy answer to a write may mean the part that it goes to, which turns away
        the calls of all machines.
        """
        busy_part = status == STATUS_BUSY and writes
        if status not in (STATUS_BUSY, STATUS_UNAVAILABLE):
            self._note(True, "")
            return
        if not busy_part:
            self._note(False, f"status {status}")
        raise UnavailableError(f"store answered {status}", verdict=Verdict.NOT_RUN)

    async def _call_by_peer(
        self,
        method: str,
        path: str,
        data: bytes | None,
        wait: timedelta,
        cause: UnavailableError,
    ) -> tuple[int, bytes]:
        """Try one peer, the one that worked last or the next in turn."""
        address = self._choose_peer()
        if not address:
            raise cause
        margin = PEER_MARGIN if data is not None else READ_MARGIN
        timeout = self._patience.timeout + wait + margin
        try:
            answer = await self._carry(
                self._peers.relay(address, method, path, data, wait, timeout)
            )
        except _StoreRecoveredError:
            raise
        except UnavailableError:
            self._note_bad_peer(address)
            raise
        self._good_peer = address
        self._peers_failed = 0
        return answer

    def _note_bad_peer(self, address: str) -> None:
        until = self._clock.monotonic() + PEER_PAUSE.total_seconds()
        self._peers_paused[address] = until
        self._peers_failed += 1
        if self._good_peer == address:
            self._good_peer = ""

    def _choose_peer(self) -> str:
        found = list(self._list.addresses()) if self._list is not None else []
        if not found or self._good_peer in found:
            return self._good_peer if found else ""
        now = self._clock.monotonic()
        usable = [each for each in found if self._peers_paused.get(each, 0.0) <= now]
        self._turn += 1
        choice = usable or found
        return choice[self._turn % len(choice)]

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
