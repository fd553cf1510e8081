"""Compares ways of sharing the slots of backend servers between gateways.

The slots of 24 backend servers are asked for through 7 gateways.  Each team calls
through few gateways, as callers with long-lived connections do.  Waiting is counted
from the arrival at the gateway to the start at the backend server, without the hop
between those two, which all ways share.  The owner-hop way also counts the answer's
hop through the owner.

Run: .venv/bin/python -m lab.slots --seeds 5
"""

from __future__ import annotations

import heapq
import random
import statistics
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial

import click

from cassiaweir.clock import ManualClock
from cassiaweir.requests._broker import SlotBroker
from cassiaweir.requests._models import AcquireRequest, Grant, SlotOutcome
from cassiaweir.requests._slot_registry import Backend
from cassiaweir.types import Urgency

SERVERS = 24
SLOTS_PER_SERVER = 8
SLOTS = SERVERS * SLOTS_PER_SERVER
GATEWAYS = 7
HOP_SECONDS = 0.001
REBALANCE_SECONDS = 0.5
SERVICE_SECONDS = 0.05
TEAM_WEIGHTS = (40, 30, 15, 5, 5, 5)
TEAM_GATEWAYS = ((0,), (1, 2), (3,), (4,), (5,), (6,))
FAR_SECONDS = 1e6


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request; times are in seconds."""

    number: int
    at: float
    team: int
    gateway: int
    service: float


def make_arrivals(seed: int, load: float, count: int) -> list[Arrival]:
    """Return `count` requests that keep the slots busy to `load`."""
    rng = random.Random(seed)
    rate = load * SLOTS / SERVICE_SECONDS
    teams = rng.choices(range(len(TEAM_WEIGHTS)), TEAM_WEIGHTS, k=count)
    at = 0.0
    arrivals = []
    for number, team in enumerate(teams):
        at += rng.expovariate(rate)
        gateway = rng.choice(TEAM_GATEWAYS[team])
        service = rng.expovariate(1 / SERVICE_SECONDS)
        arrivals.append(Arrival(number, at, team, gateway, service))
    return arrivals


class Events:
    """The event queue that moves the clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Call `call` at the time `when`."""
        self._serial += 1
        heapq.heappush(self._heap, (when, self._serial, call))

    def run(self) -> None:
        """Run until nothing is left."""
        while self._heap:
            when, _, call = heapq.heappop(self._heap)
            self.clock.advance(when - self.clock.monotonic())
            call()


@dataclass(slots=True)
class Gateway:
    """A gateway with credits of its own."""

    credits: int
    in_use: int = 0
    waiting: deque[Arrival] = field(default_factory=deque)

    @property
    def demand(self) -> int:
        """The slots that the gateway could use now."""
        return self.in_use + len(self.waiting)


def run_credits(arrivals: list[Arrival], *, rebalance: bool) -> list[float]:
    """Return the waiting times where each gateway holds credits of its own."""
    events = Events()
    waits: list[float] = []
    spare = [SLOTS // GATEWAYS + (n < SLOTS % GATEWAYS) for n in range(GATEWAYS)]
    gateways = [Gateway(count) for count in spare]
    left = len(arrivals)

    def arrive(arrival: Arrival) -> None:
        gateways[arrival.gateway].waiting.append(arrival)
        start(gateways[arrival.gateway])

    def start(gateway: Gateway) -> None:
        while gateway.waiting and gateway.in_use < gateway.credits:
            arrival = gateway.waiting.popleft()
            now = events.clock.monotonic()
            waits.append(now - arrival.at)
            gateway.in_use += 1
            events.at(now + arrival.service, lambda: finish(gateway))

    def finish(gateway: Gateway) -> None:
        nonlocal left
        left -= 1
        gateway.in_use -= 1
        start(gateway)

    def move_credits() -> None:
        _share_out(gateways)
        for gateway in gateways:
            start(gateway)
        if left:
            events.at(events.clock.monotonic() + REBALANCE_SECONDS, move_credits)

    for arrival in arrivals:
        events.at(arrival.at, partial(arrive, arrival))
    if rebalance:
        events.at(REBALANCE_SECONDS, move_credits)
    events.run()
    return waits


def _share_out(gateways: list[Gateway]) -> None:
    """Give credits by demand; what is in use stays where it is."""
    total = sum(gateway.demand for gateway in gateways) or 1
    for gateway in gateways:
        target = SLOTS * gateway.demand // total
        gateway.credits = max(1, gateway.in_use, target)
    while sum(gateway.credits for gateway in gateways) > SLOTS:
        idle = [gateway for gateway in gateways if gateway.credits > gateway.in_use]
        max(idle, key=lambda g: g.credits - g.demand).credits -= 1
    while (rest := SLOTS - sum(gateway.credits for gateway in gateways)) > 0:
        poorest = min(gateways, key=lambda g: g.credits - g.demand)
        poorest.credits += min(rest, 1)


def run_broker(arrivals: list[Arrival], *, through_owner: bool) -> list[float]:
    """Return the waiting times where the owner's broker grants slot by slot.

    `through_owner` lets the requests themselves pass through the owner.
    """
    events = Events()
    waits: list[float] = []
    broker = SlotBroker(
        events.clock,
        max_request_time=timedelta(seconds=FAR_SECONDS),
        share=lambda team: 1.0,
        queue_limit=len(arrivals),
    )
    broker.set_backends(
        [
            Backend(f"s{n}", "inventory", f"s{n}:1", "shard", SLOTS_PER_SERVER)
            for n in range(SERVERS)
        ],
        {"shard": 1},
    )
    # A grant travels to the gateway before the slot is in use, and its end travels
    # back; a request that passes through the owner is there already.
    idle = 0.0 if through_owner else HOP_SECONDS
    answer = HOP_SECONDS if through_owner else 0.0

    def ask(arrival: Arrival) -> None:
        refusal = broker.request(
            AcquireRequest(
                gateway=str(arrival.gateway),
                ticket=arrival.number,
                service="inventory",
                team=str(arrival.team),
                urgency=Urgency.NORMAL,
                deadline=FAR_SECONDS,
            )
        )
        assert refusal is None
        decide()

    def decide() -> None:
        now = events.clock.monotonic()
        for grant in broker.decide():
            assert isinstance(grant, Grant)
            arrival = arrivals[grant.ticket]
            waits.append(now + idle + answer - arrival.at)
            end = now + idle + arrival.service + idle
            events.at(end, partial(finish, grant))

    def finish(grant: Grant) -> None:
        broker.done(grant.gateway, grant.ticket, SlotOutcome.FREE)
        decide()

    for arrival in arrivals:
        events.at(arrival.at + HOP_SECONDS, partial(ask, arrival))
    events.run()
    return waits


WAYS: dict[str, Callable[[list[Arrival]], list[float]]] = {
    "credits, equal": lambda arrivals: run_credits(arrivals, rebalance=False),
    "credits, moved by demand": lambda arrivals: run_credits(arrivals, rebalance=True),
    "owner hop": lambda arrivals: run_broker(arrivals, through_owner=True),
    "grant per request": lambda arrivals: run_broker(arrivals, through_owner=False),
}


@click.command()
@click.option("--seeds", default=5, help="Number of seeds, from 1.")
@click.option("--load", default=0.95, help="Part of the slots that are busy.")
@click.option("--count", default=40_000, help="Requests for each seed.")
def main(seeds: int, load: float, count: int) -> None:
    """Print mean and p99 waiting of each way over the same arrivals."""
    click.echo(f"load={load} count={count} seeds=1..{seeds}")
    for name, run in WAYS.items():
        means, tails = [], []
        began = time.process_time()
        for seed in range(1, seeds + 1):
            waits = sorted(run(make_arrivals(seed, load, count)))
            means.append(statistics.fmean(waits) * 1000)
            tails.append(waits[int(len(waits) * 0.99)] * 1000)
        micros = (time.process_time() - began) / (seeds * count) * 1e6
        click.echo(
            f"{name:26} mean {statistics.median(means):8.1f} ms  "
            f"p99 {statistics.median(tails):8.1f} ms  "
            f"worst p99 {max(tails):8.1f} ms  {micros:5.0f} us a request"
        )


if __name__ == "__main__":
    main()
