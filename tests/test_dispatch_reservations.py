"""Tests of the servers that are reserved for gangs."""

from __future__ import annotations

from cassiaweir.dispatch._placement import Candidate
from cassiaweir.dispatch._reservations import MAX_RESERVED_SHARE, Reservations
from tests.test_dispatch_parts import server_of

FLEET = 20


def candidates(*numbers: int, slots: int = 3) -> list[Candidate]:
    return [Candidate(server_of(f"i-{number}"), slots) for number in numbers]


def ids(*numbers: int) -> set[str]:
    return {f"i-{number}" for number in numbers}


def test_gang_gets_room_for_all_tasks_and_headroom():
    reservations = Reservations()
    reservations.reserve("a", candidates(*range(FLEET)), 8, FLEET)
    assert reservations.of_others("b") == ids(0, 1, 2, 3)
    assert reservations.of_others("a") == set()


def test_reservation_counts_while_one_of_its_servers_is_usable():
    reservations = Reservations()
    reservations.reserve("a", candidates(0, 1, 2), 6, FLEET)
    assert reservations.includes_any("a", [server_of("i-2"), server_of("i-9")])
    assert not reservations.includes_any("a", [server_of("i-9")])
    assert not reservations.includes_any("b", [server_of("i-2")])


def test_first_gang_may_reserve_all_servers_and_the_next_only_a_share():
    reservations = Reservations()
    reservations.reserve("wide", candidates(*range(15)), 45, FLEET)
    assert len(reservations.of_others("")) == 15
    reservations.reserve("next", candidates(15, 16), 6, FLEET)
    assert len(reservations.of_others("")) == 15
    reservations.release("wide")
    reservations.reserve("next", candidates(15, 16), 6, FLEET)
    reservations.reserve("third", candidates(*range(12)), 30, FLEET)
    assert len(reservations.of_others("")) <= FLEET * MAX_RESERVED_SHARE


def test_nothing_is_reserved_for_a_gang_that_does_not_fit():
    reservations = Reservations()
    reservations.reserve("a", candidates(0, 1), 7, FLEET)
    assert not reservations.of_others("")


def test_reservations_of_gangs_that_no_longer_wait_are_released():
    reservations = Reservations()
    reservations.reserve("a", candidates(0), 3, FLEET)
    reservations.reserve("b", candidates(1), 3, FLEET)
    reservations.retain(["b"])
    assert reservations.of_others("") == ids(1)
