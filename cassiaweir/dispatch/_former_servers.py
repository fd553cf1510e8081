"""Finds out whether servers without an entry still run what a former leader started."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from datetime import timedelta

from loguru import logger

from cassiaweir.dispatch._call_fence import CallFences
from cassiaweir.dispatch._call_queue import CallKind, CallQueues
from cassiaweir.dispatch._gate import TakeoverGate
from cassiaweir.dispatch._server_client import ServerClient
from cassiaweir.dispatch._server_entry import ServerEntry
from cassiaweir.exceptions import FencedError, LifetimeEndedError, UnavailableError
from cassiaweir.leadership import Leadership
from cassiaweir.types import Clock

PROBE_INTERVAL = timedelta(milliseconds=400)
PROBE_TIMEOUT = timedelta(milliseconds=400)


class FormerServerProbe:
    """Asks servers that have a row of a former leader, but no entry any more.

    Servers with an entry are polled anyway.  `registered` holds the ids of these.
    `on_replaced` is called with those at whose addresses other lifetimes answer.
    """

    def __init__(
        self,
        gate: TakeoverGate,
        client: ServerClient,
        clock: Clock,
        leadership: Leadership,
        registered: Collection[str],
        queues: CallQueues,
        fences: CallFences,
        on_replaced: Callable[[Collection[str]], None],
    ) -> None:
        self._on_replaced = on_replaced
        self._gate = gate
        self._client = client
        self._clock = clock
        self._leadership = leadership
        self._registered = registered
        self._queues = queues
        self._fences = fences

    async def run(self) -> None:
        """Ask regularly while the gate is closed, until cancelled."""
        while not self._gate.is_open and not self._leadership.lost:
            await self._clock.sleep(PROBE_INTERVAL)
            if not self._leadership.may_act(self._clock.monotonic()):
                continue
            unknown = self._gate.unsettled_servers - set(self._registered)
            await asyncio.gather(*(self._probe(each) for each in sorted(unknown)))

    async def _probe(self, server_id: str) -> None:
        """Settle a server whose lifetime is over, or that has nothing to report."""
        address = self._gate.address_of(server_id)
        if not address:
            return
        try:
            async with self._queues.at(address).turn(CallKind.REPORT):
                report = await self._client.renew_lease(
                    ServerEntry(server_id, address, service="", failure_domain=""),
                    epoch=self._fences.of(server_id).value,
                    until_ms=None,
                    acknowledged=0,
                    wait=timedelta(0),
                    timeout=PROBE_TIMEOUT,
                )
        except LifetimeEndedError:
            self._settle(server_id, "another lifetime answers at its address")
            self._on_replaced([server_id])
        except (FencedError, UnavailableError):
            return
        else:
            if not report.running and not report.ended:
                self._settle(server_id, "it runs nothing")

    def _settle(self, server_id: str, cause: str) -> None:
        logger.info("former_server_settled", server=server_id, cause=cause)
        self._gate.mark_settled(server_id)
