"""Compares strategies of sharing the slots of backend servers between gateways.

A simulation requests the slots of 24 backend servers through 7 gateways.  Each team
calls through few gateways, as callers with long-lived connections do.  The waiting time
runs from the arrival at the gateway to the start at the backend server, without the hop
between those two, which all strategies share.  The strategy "owner hop" also counts the
hop of the response through the owner.

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
REBALANCE_INTERVAL_SECONDS = 0.5
MEAN_SERVICE_SECONDS = 0.05
TEAM_WEIGHTS = (40, 30, 15, 5, 5, 5)
TEAM_GATEWAYS = ((0,), (1, 2), (3,), (4,), (5,), (6,))
NO_DEADLINE_SECONDS = 1e6


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request; `at` and the service time `service` are in seconds."""

    number: int
    at: float
    team: int
    gateway: int
    service: float


def make_arrivals(seed: int, load: float, count: int) -> list[Arrival]:
    """Return `count` requests that use the part `load` of the slots on average."""
    rng = random.Random(seed)
    rate = load * SLOTS / MEAN_SERVICE_SECONDS
    teams = rng.choices(range(len(TEAM_WEIGHTS)), TEAM_WEIGHTS, k=count)
    at = 0.0
    arrivals = []
    for number, team in enumerate(teams):
        at += rng.expovariate(rate)
        gateway = rng.choice(TEAM_GATEWAYS[team])
        service = rng.expovariate(1 / MEAN_SERVICE_SECONDS)
        arrivals.append(Arrival(number, at, team, gateway, service))
    return arrivals


class EventQueue:
    """The event queue of the simulation, which advances the clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule `call` for the time `when`."""
        self._serial += 1
        heapq.heappush(self._heap, (when, self._serial, call))

    def run(self) -> None:
        """Run all events in order of time, including those that they schedule."""
        while self._heap:
            when, _, call = heapq.heappop(self._heap)
            self.clock.advance(when - self.clock.monotonic())
            call()


@dataclass(slots=True)
class Gateway:
    """A gateway; `credits` is the number of slots that it may use at once."""

    credits: int
    in_use: int = 0
    waiting: deque[Arrival] = field(default_factory=deque)

    @property
    def demand(self) -> int:
        """The number of slots that the gateway could use now."""
        return self.in_use + len(self.waiting)


def run_credits(arrivals: list[Arrival], *, rebalance: bool) -> list[float]:
    """Return the waiting times where each gateway has its own credits.

    With `rebalance`, credits are redistributed by demand at a fixed interval.
    """
    events = EventQueue()
    waits: list[float] = []
    initial_credits = [
        SLOTS // GATEWAYS + (n < SLOTS % GATEWAYS) for n in range(GATEWAYS)
    ]
    gateways = [Gateway(count) for count in initial_credits]
    unfinished = len(arrivals)

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
        nonlocal unfinished
        unfinished -= 1
        gateway.in_use -= 1
        start(gateway)

    def move_credits() -> None:
        _redistribute_credits(gateways)
        for gateway in gateways:
            start(gateway)
        if unfinished:
            events.at(
                events.clock.monotonic() + REBALANCE_INTERVAL_SECONDS, move_credits
            )

    for arrival in arrivals:
        events.at(arrival.at, partial(arrive, arrival))
    if rebalance:
        events.at(REBALANCE_INTERVAL_SECONDS, move_credits)
    events.run()
    return waits


def _redistribute_credits(gateways: list[Gateway]) -> None:
    """Distribute the credits by demand; credits in use stay at their gateway."""
    total = sum(gateway.demand for gateway in gateways) or 1
    for gateway in gateways:
        target = SLOTS * gateway.demand // total
        gateway.credits = max(1, gateway.in_use, target)
    while sum(gateway.credits for gateway in gateways) > SLOTS:
        idle = [gateway for gateway in gateways if gateway.credits > gateway.in_use]
        max(idle, key=lambda g: g.credits - g.demand).credits -= 1
    while (unassigned := SLOTS - sum(gateway.credits for gateway in gateways)) > 0:
        neediest = min(gateways, key=lambda g: g.credits - g.demand)
        neediest.credits += min(unassigned, 1)


def run_broker(arrivals: list[Arrival], *, through_owner: bool) -> list[float]:
    """Return the waiting times where the owner's broker grants each slot.

    With `through_owner`, the requests themselves pass through the owner.
    """
    events = EventQueue()
    waits: list[float] = []
    broker = SlotBroker(
        events.clock,
        max_request_time=timedelta(seconds=NO_DEADLINE_SECONDS),
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
    # A grant travels to the gateway before the slot is used, and the report of the end
    # travels back.  A request that passes through the owner needs neither hop.
    grant_hop = 0.0 if through_owner else HOP_SECONDS
    response_hop = HOP_SECONDS if through_owner else 0.0

    def submit(arrival: Arrival) -> None:
        refusal = broker.request(
            AcquireRequest(
                gateway=str(arrival.gateway),
                ticket=arrival.number,
                service="inventory",
                team=str(arrival.team),
                urgency=Urgency.NORMAL,
                deadline=NO_DEADLINE_SECONDS,
            )
        )
        assert refusal is None
        decide()

    def decide() -> None:
        now = events.clock.monotonic()
        for grant in broker.decide():
            assert isinstance(grant, Grant)
            arrival = arrivals[grant.ticket]
            waits.append(now + grant_hop + response_hop - arrival.at)
            end = now + grant_hop + arrival.service + grant_hop
            events.at(end, partial(finish, grant))

    def finish(grant: Grant) -> None:
        broker.done(grant.gateway, grant.ticket, SlotOutcome.FREE)
        decide()

    for arrival in arrivals:
        events.at(arrival.at + HOP_SECONDS, partial(submit, arrival))
    events.run()
    return waits


STRATEGIES: dict[str, Callable[[list[Arrival]], list[float]]] = {
    "credits, equal": lambda arrivals: run_credits(arrivals, rebalance=False),
    "credits, moved by demand": lambda arrivals: run_credits(arrivals, rebalance=True),
    "owner hop": lambda arrivals: run_broker(arrivals, through_owner=True),
    "grant per request": lambda arrivals: run_broker(arrivals, through_owner=False),
}


@click.command()
@click.option("--seeds", default=5, help="Number of seeds, from 1.")
@click.option("--load", default=0.95, help="Part of the slots in use, 0 to 1.")
@click.option("--count", default=40_000, help="Requests for each seed.")
def main(seeds: int, load: float, count: int) -> None:
    """Print the mean and p99 waiting time of each strategy for the same arrivals."""
    click.echo(f"load={load} count={count} seeds=1..{seeds}")
    for name, run in STRATEGIES.items():
        means, p99s = [], []
        started_at = time.process_time()
        for seed in range(1, seeds + 1):
            waits = sorted(run(make_arrivals(seed, load, count)))
            means.append(statistics.fmean(waits) * 1000)
            p99s.append(waits[int(len(waits) * 0.99)] * 1000)
        microseconds = (time.process_time() - started_at) / (seeds * count) * 1e6
        click.echo(
            f"{name:26} mean {statistics.median(means):8.1f} ms  "
            f"p99 {statistics.median(p99s):8.1f} ms  "
            f"worst p99 {max(p99s):8.1f} ms  {microseconds:5.0f} us per request"
        )


if __name__ == "__main__":
    main()
