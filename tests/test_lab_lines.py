"""Tests the line fitting and the socket parsing of `lab.capacity`."""

from __future__ import annotations

import pytest

from lab._lines import fit_line
from lab._results import PartResult, Point
from lab._sockets import SocketBytes, bytes_between, parse_socket

LINE = (
    "0 0 127.0.0.1:10700 127.0.0.1:40000 "
    'users:(("python",pid=7,fd=9)) cubic bytes_sent:100 bytes_acked:100 '
    "bytes_received:40 segs_out:3 segs_in:2 data_segs_out:1"
)


def test_points_on_a_line_are_fitted_exactly() -> None:
    line = fit_line([1, 2, 4], [5, 7, 11])

    assert line.intercept == pytest.approx(3)
    assert line.slope == pytest.approx(2)
    assert line.misfit == pytest.approx(0)
    assert line.at(58) == pytest.approx(119)


def test_misfit_is_the_largest_deviation_over_the_largest_value() -> None:
    line = fit_line([0, 1, 2], [0, 3, 0])

    assert line.slope == pytest.approx(0)
    assert line.misfit == pytest.approx(2 / 3)


def test_one_size_is_rejected() -> None:
    with pytest.raises(ValueError, match="two different sizes"):
        fit_line([3, 3], [1, 2])


def test_values_missing_from_some_points_get_no_line() -> None:
    points = [Point(1, {"cpu_ms": 1.0, "extra": 1.0}), Point(2, {"cpu_ms": 2.0})]

    assert list(PartResult("things", "now", points).lines()) == ["cpu_ms"]


def test_a_socket_counts_payload_and_headers() -> None:
    sock = parse_socket(LINE)

    assert sock == SocketBytes(7, "127.0.0.1:10700", "127.0.0.1:40000", 400)


def test_a_socket_without_process_is_ignored() -> None:
    assert parse_socket("0 0 127.0.0.1:1 127.0.0.1:2 cubic bytes_sent:1") is None


def test_new_connections_count_all_their_bytes() -> None:
    earlier = SocketBytes(7, "a:1", "b:2", 10)
    later = SocketBytes(7, "a:1", "b:2", 25)
    new = SocketBytes(7, "a:3", "c:4", 5)
    before = {(7, "a:1", "b:2"): earlier}
    after = {(7, "a:1", "b:2"): later, (7, "a:3", "c:4"): new}

    counted = bytes_between(before, after, lambda local, peer: peer[0])

    assert counted == {"b": 15, "c": 5}
