"""Tests of the slot broker with a manual clock."""

from datetime import timedelta

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiaweir.clock import ManualClock
from cassiaweir.requests._broker import SlotBroker
from cassiaweir.requests._handovers import MIN_HANDOVER_SECONDS
from cassiaweir.requests._models import (
    AcquireRequest,
    Grant,
    HeldSlot,
    Refusal,
    SlotOutcome,
)
from cassiaweir.requests._slot_registry import Backend
from cassiaweir.types import Urgency

MAX_REQUEST_SECONDS = 10.0
MARGIN_SECONDS = 2.0
SLOTS = 2
BACKENDS = ("a", "b")
FIRST_OWNER_EPOCHS = {"augusta-0": 1}
LATER_OWNER_EPOCHS = {"augusta-0": 2}


def make_broker(clock, *, share=lambda team: 1.0, queue_limit=8) -> SlotBroker:
    return SlotBroker(
        clock,
        max_request_time=timedelta(seconds=MAX_REQUEST_SECONDS),
        margin=timedelta(seconds=MARGIN_SECONDS),
        queue_limit=queue_limit,
        share=share,
    )


def backend(name, *, slots=SLOTS, leaving=False) -> Backend:
    return Backend(name, "inventory", f"{name}:1", "augusta-0", slots, leaving)


def make_acquire_request(
    clock, ticket, *, team="t", gateway="g", **changes
) -> AcquireRequest:
    values = {
        "urgency": Urgency.NORMAL,
        "deadline": clock.monotonic() + MAX_REQUEST_SECONDS,
    }
    return AcquireRequest(gateway, ticket, "inventory", team, **(values | changes))


def make_first_owner_broker(clock, *names, **changes) -> SlotBroker:
    """Return the broker of a shard's first owner, whose handover is complete."""
    broker = make_broker(clock, **changes)
    broker.set_backends([backend(name) for name in names], FIRST_OWNER_EPOCHS)
    broker.decide()
    return broker


def grants(decisions) -> list[Grant]:
    return [decision for decision in decisions if isinstance(decision, Grant)]


def test_the_server_with_the_fewest_slots_in_use_is_picked():
    clock = ManualClock()
    broker = make_first_owner_broker(clock, "a", "b")
    for ticket in range(2):
        broker.request(make_acquire_request(clock, ticket))
    assert {grant.backend for grant in grants(broker.decide())} == {"a", "b"}


def test_avoided_and_leaving_servers_get_no_grants():
    clock = ManualClock()
    broker = make_first_owner_broker(clock, "a", "b", "c")
    servers = [backend("a", leaving=True), backend("b"), backend("c")]
    broker.set_backends(servers, FIRST_OWNER_EPOCHS)
    for ticket in range(SLOTS):
        broker.request(make_acquire_request(clock, ticket, avoid=frozenset({"b"})))
    assert [grant.backend for grant in grants(broker.decide())] == ["c"] * SLOTS


def test_a_server_that_refused_is_paused():
    clock = ManualClock()
    broker = make_first_owner_broker(clock, "a")
    broker.request(make_acquire_request(clock, 1))
    broker.decide()
    broker.done("g", 1, SlotOutcome.REFUSED)
    broker.request(make_acquire_request(clock, 2))
    assert grants(broker.decide()) == []
    clock.advance(5)
    assert len(grants(broker.decide())) == 1


def test_a_leaving_server_stays_paused_while_the_vm_list_lags():
    clock = ManualClock()
    broker = make_first_owner_broker(clock, "a")
    for ticket in (1, 2):
        broker.request(make_acquire_request(clock, ticket))
    broker.decide()
    broker.done("g", 1, SlotOutcome.LEAVING)
    broker.done("g", 2, SlotOutcome.REFUSED)
    clock.advance(MAX_REQUEST_SECONDS)
    broker.set_backends([backend("a")], FIRST_OWNER_EPOCHS)
    broker.request(make_acquire_request(clock, 3))
    assert grants(broker.decide()) == []


def test_a_suspect_slot_is_in_use_until_its_lease_ends():
    clock = ManualClock()
    broker = make_first_owner_broker(clock, "a")
    broker.request(make_acquire_request(clock, 1))
    broker.decide()
    broker.done("g", 1, SlotOutcome.SUSPECT)
    clock.advance(MAX_REQUEST_SECONDS + MARGIN_SECONDS - 0.1)
    broker.decide()
    assert broker.count_grants("a") == 1
    clock.advance(0.1)
    broker.decide()
    assert broker.count_grants("a") == 0


def test_grants_of_a_dead_gateway_end_with_their_leases():
    clock = ManualClock()
    broker = make_first_owner_broker(clock, "a")
    for ticket in range(SLOTS):
        broker.request(make_acquire_request(clock, ticket, gateway="dead"))
    broker.decide()
    broker.detach("dead")
    clock.advance(MAX_REQUEST_SECONDS + MARGIN_SECONDS - 1)
    broker.request(make_acquire_request(clock, 9))
    assert grants(broker.decide()) == []
    clock.advance(1)
    assert len(grants(broker.decide())) == 1


def test_a_new_owner_waits_for_the_reports_of_all_gateways():
    clock = ManualClock()
    broker = make_broker(clock)
    broker.set_backends([backend("a")], LATER_OWNER_EPOCHS)
    broker.set_gateways(["g", "h"])
    broker.attach("g", [HeldSlot(1, "a", 9.0)])
    clock.advance(MIN_HANDOVER_SECONDS)
    broker.request(make_acquire_request(clock, 2))
    assert grants(broker.decide()) == []
    broker.attach("h", [])
    assert len(grants(broker.decide())) == 1
    assert broker.count_grants("a") == SLOTS


@pytest.mark.parametrize("gateways", [None, ["g"], ["g", "unheard"]])
def test_a_new_owner_does_not_rely_on_an_early_list_of_gateways(gateways):
    clock = ManualClock()
    broker = make_broker(clock)
    broker.set_backends([backend("a")], LATER_OWNER_EPOCHS)
    broker.set_gateways(gateways)
    broker.attach("g", [])
    broker.request(make_acquire_request(clock, 1))
    clock.advance(MIN_HANDOVER_SECONDS - 0.1)
    assert grants(broker.decide()) == []
    broker.set_gateways(gateways and [*gateways, "new"])
    clock.advance(1)
    assert grants(broker.decide()) == []


def test_a_handover_waits_for_a_gateway_that_left_the_list():
    clock = ManualClock()
    broker = make_broker(clock)
    broker.set_gateways(["left"])
    broker.set_backends([backend("a")], LATER_OWNER_EPOCHS)
    broker.set_gateways([])
    clock.advance(MIN_HANDOVER_SECONDS)
    broker.request(make_acquire_request(clock, 1, deadline=1e6))
    assert grants(broker.decide()) == []
    clock.advance(MAX_REQUEST_SECONDS + MARGIN_SECONDS)
    assert len(grants(broker.decide())) == 1


def test_a_shard_at_a_higher_epoch_starts_a_new_handover():
    clock = ManualClock()
    broker = make_first_owner_broker(clock, "a")
    broker.set_backends([backend("a")], LATER_OWNER_EPOCHS)
    broker.request(make_acquire_request(clock, 1))
    assert grants(broker.decide()) == []


def test_a_server_missing_from_the_list_keeps_its_grants():
    clock = ManualClock()
    broker = make_first_owner_broker(clock, "a")
    for ticket in range(SLOTS):
        broker.request(make_acquire_request(clock, ticket))
    broker.decide()
    broker.set_backends([], FIRST_OWNER_EPOCHS)
    broker.set_backends([backend("a")], FIRST_OWNER_EPOCHS)
    broker.request(make_acquire_request(clock, 9))
    assert grants(broker.decide()) == []
    assert broker.count_grants("a") == SLOTS


def test_a_new_owner_may_grant_a_reported_slot_after_its_release():
    clock = ManualClock()
    broker = make_broker(clock)
    broker.set_backends([backend("a")], LATER_OWNER_EPOCHS)
    broker.attach("g", [HeldSlot(1, "a", 3.0)])
    broker.request(make_acquire_request(clock, 2))
    broker.done("g", 1, SlotOutcome.FREE)
    assert len(grants(broker.decide())) == 1
    broker.request(make_acquire_request(clock, 3, deadline=clock.monotonic() + 99))
    assert grants(broker.decide()) == []
    clock.advance(MAX_REQUEST_SECONDS + MARGIN_SECONDS)
    assert len(grants(broker.decide())) == 1


def test_a_full_queue_refuses_at_once_with_a_retry_time():
    clock = ManualClock()
    broker = make_first_owner_broker(clock, "a", queue_limit=3)
    refused = [
        broker.request(make_acquire_request(clock, ticket)) for ticket in range(5)
    ]
    broker.decide()
    more = [
        broker.request(make_acquire_request(clock, 10 + ticket)) for ticket in range(3)
    ]
    refusals = [refusal for refusal in refused + more if refusal is not None]
    assert {refusal.reason for refusal in refusals} == {"queue_full"}
    assert all(refusal.retry_after_seconds > 0 for refusal in refusals)


def test_a_deadline_that_cannot_be_met_is_refused_at_once():
    clock = ManualClock()
    broker = make_first_owner_broker(clock, "a")
    for ticket in range(4):
        broker.request(make_acquire_request(clock, ticket))
        broker.decide()
    refusal = broker.request(
        make_acquire_request(clock, 9, deadline=clock.monotonic() + 0.15)
    )
    assert isinstance(refusal, Refusal)
    assert refusal.reason == "deadline_too_near"


def test_queued_requests_are_refused_when_the_last_server_is_gone():
    clock = ManualClock()
    broker = make_first_owner_broker(clock, "a")
    for ticket in range(SLOTS + 1):
        broker.request(make_acquire_request(clock, ticket))
    broker.decide()
    broker.set_backends([], FIRST_OWNER_EPOCHS)
    (refusal,) = broker.decide()
    assert isinstance(refusal, Refusal)
    assert refusal.reason == "no_backend"


def serve_one_by_one(broker, clock, rounds) -> list[str]:
    """Serve one request at a time and return the teams in the order of service."""
    order = []
    for _ in range(rounds):
        (grant,) = grants(broker.decide())
        order.append(TEAM_BY_TICKET_RANGE[grant.ticket // 100])
        clock.advance(0.01)
        broker.done("g", grant.ticket, SlotOutcome.FREE)
    return order


TEAM_BY_TICKET_RANGE = {0: "flood", 1: "small", 2: "first"}


def make_one_slot_broker(clock, share) -> SlotBroker:
    broker = make_broker(clock, share=share, queue_limit=99)
    broker.set_backends([backend("a", slots=1)], FIRST_OWNER_EPOCHS)
    broker.decide()
    return broker


@pytest.mark.parametrize("urgency", list(Urgency))
def test_a_flood_from_one_team_does_not_starve_others(urgency):
    clock = ManualClock()
    broker = make_one_slot_broker(clock, lambda team: 1.0)
    for ticket in range(60):
        request = make_acquire_request(
            clock, ticket, team="flood", urgency=urgency, deadline=1e6
        )
        broker.request(request)
    for ticket in range(100, 105):
        broker.request(make_acquire_request(clock, ticket, team="small", deadline=1e6))
    assert serve_one_by_one(broker, clock, 40).count("small") == 5


def test_grants_follow_the_team_shares():
    clock = ManualClock()
    broker = make_one_slot_broker(clock, lambda team: 3.0 if team == "flood" else 1.0)
    for ticket in range(40):
        broker.request(make_acquire_request(clock, ticket, team="flood", deadline=1e6))
        broker.request(
            make_acquire_request(clock, 100 + ticket, team="small", deadline=1e6)
        )
    order = serve_one_by_one(broker, clock, 40)
    assert abs(order.count("flood") - 30) <= 1


def test_urgent_requests_go_first():
    clock = ManualClock()
    broker = make_one_slot_broker(clock, lambda team: 1.0)
    for ticket in range(5):
        broker.request(make_acquire_request(clock, ticket, team="flood"))
    broker.request(
        make_acquire_request(clock, 100, team="small", urgency=Urgency.URGENT)
    )
    assert serve_one_by_one(broker, clock, 1) == ["small"]


class BrokerMachine(RuleBasedStateMachine):
    """Checks that no server exceeds its slots, also across takeovers.

    Two gateways use two servers.  A new owner starts without any record of grants.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.next_ticket = 0
        # Model: the server of each grant and the time until which it may use a slot.
        self.occupied: dict[tuple[str, int], tuple[str, float]] = {}
        self.leaving: frozenset[str] = frozenset()
        self.take_over()

    @rule()
    def take_over(self) -> None:
        self.broker = make_broker(self.clock)
        self.list_servers(self.leaving)

    @rule(leaving=st.sampled_from((frozenset(), frozenset({"a"}))))
    def list_servers(self, leaving) -> None:
        self.leaving = leaving
        servers = [backend(name, leaving=name in leaving) for name in BACKENDS]
        self.broker.set_backends(servers, LATER_OWNER_EPOCHS)
        self.broker.set_gateways(["g", "h"])

    @rule(gateway=st.sampled_from(("g", "h")))
    def reconnect(self, gateway) -> None:
        now = self.clock.monotonic()
        self.broker.detach(gateway)
        held_slots = [
            HeldSlot(ticket, name, until - now)
            for (holder, ticket), (name, until) in self.occupied.items()
            if holder == gateway and until > now
        ]
        self.broker.attach(gateway, held_slots)

    @rule(
        gateway=st.sampled_from(("g", "h")),
        team=st.sampled_from(("s", "t")),
        urgency=st.sampled_from(Urgency),
        seconds_left=st.floats(0.1, MAX_REQUEST_SECONDS),
        avoid=st.sampled_from((frozenset(), frozenset({"a"}), frozenset({"b"}))),
        count=st.integers(1, 4),
    )
    def ask(self, gateway, team, urgency, seconds_left, avoid, count) -> None:
        for _ in range(count):
            self.next_ticket += 1
            request = make_acquire_request(
                self.clock,
                self.next_ticket,
                team=team,
                gateway=gateway,
                urgency=urgency,
                deadline=self.clock.monotonic() + seconds_left,
                avoid=avoid,
            )
            self.broker.request(request)
        self.decide()

    @rule()
    def decide(self) -> None:
        now = self.clock.monotonic()
        for grant in grants(self.broker.decide()):
            assert grant.backend not in self.leaving
            assert grant.lease_seconds <= MAX_REQUEST_SECONDS + MARGIN_SECONDS
            key = (grant.gateway, grant.ticket)
            assert key not in self.occupied
            self.occupied[key] = (grant.backend, now + grant.lease_seconds)

    @rule(data=st.data(), outcome=st.sampled_from(SlotOutcome))
    def finish(self, data, outcome) -> None:
        if not self.occupied:
            return
        key = data.draw(st.sampled_from(sorted(self.occupied)))
        if outcome is not SlotOutcome.SUSPECT:
            del self.occupied[key]
        self.broker.done(*key, outcome)
        self.ask(
            key[0], "s", Urgency.NORMAL, MAX_REQUEST_SECONDS, frozenset(), 2 * SLOTS
        )

    @rule(
        seconds=st.sampled_from((0.01, 1.0, 3.0, MAX_REQUEST_SECONDS + MARGIN_SECONDS))
    )
    def wait(self, seconds) -> None:
        self.clock.advance(seconds)

    @invariant()
    def no_server_has_more_than_its_slots(self) -> None:
        now = self.clock.monotonic()
        for name in BACKENDS:
            occupied = [
                end
                for server, end in self.occupied.values()
                if server == name and end > now
            ]
            assert len(occupied) <= SLOTS


BrokerMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestBrokerMachine = BrokerMachine.TestCase
