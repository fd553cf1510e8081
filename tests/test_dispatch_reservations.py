"""Tests of the servers that are kept free for gangs."""

from __future__ import annotations

from cassiaweir.dispatch._placement import Candidate
from cassiaweir.dispatch._reservations import MAX_RESERVED_SHARE, Reservations
from tests.test_dispatch_parts import server_of

FLEET = 20


def candidates(*numbers: int, slots: int = 3) -> list[Candidate]:
    return [Candidate(server_of(f"i-{number}"), slots) for number in numbers]


def ids(*numbers: int) -> set[str]:
    return {f"i-{number}" for number in numbers}


def test_a_gang_gets_room_for_all_members_and_some_to_spare():
    book = Reservations()
    book.reserve("a", candidates(*range(FLEET)), 8, FLEET)
    assert book.of_others("b") == ids(0, 1, 2, 3)
    assert book.of_others("a") == set()


def test_a_reservation_holds_while_one_of_its_servers_may_be_used():
    book = Reservations()
    book.reserve("a", candidates(0, 1, 2), 6, FLEET)
    assert book.includes_any("a", [server_of("i-2"), server_of("i-9")])
    assert not book.includes_any("a", [server_of("i-9")])
    assert not book.includes_any("b", [server_of("i-2")])


def test_the_first_gang_may_take_the_whole_fleet_the_next_only_a_share():
    book = Reservations()
    book.reserve("wide", candidates(*range(15)), 45, FLEET)
    assert len(book.of_others("")) == 15
    book.reserve("next", candidates(15, 16), 6, FLEET)
    assert len(book.of_others("")) == 15
    book.release("wide")
    book.reserve("next", candidates(15, 16), 6, FLEET)
    book.reserve("third", candidates(*range(12)), 30, FLEET)
    assert len(book.of_others("")) <= FLEET * MAX_RESERVED_SHARE


def test_nothing_is_reserved_for_a_gang_that_fits_nowhere():
    book = Reservations()
    book.reserve("a", candidates(0, 1), 7, FLEET)
    assert not book.of_others("")


def test_reservations_of_gangs_that_wait_no_more_go():
    book = Reservations()
    book.reserve("a", candidates(0), 3, FLEET)
    book.reserve("b", candidates(1), 3, FLEET)
    book.retain(["b"])
    assert book.of_others("") == ids(1)
