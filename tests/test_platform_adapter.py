"""Tests of the names and data formats of the users' platform."""

from __future__ import annotations

import base64
from datetime import timedelta
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest

from cassiaweir.dispatch import EndKind, OrderOutcome, ServerEntry, StartOrder
from cassiaweir.exceptions import (
    ConflictError,
    FencedError,
    HistoryLostError,
    InvalidInputError,
    LifetimeEndedError,
    SettingsError,
    UnavailableError,
)
from cassiaweir.platform import (
    HttpServerClient,
    PlatformJobCodec,
    PlatformStore,
    decode_manifest,
    decode_server_entry,
    load_local_settings,
)
from cassiaweir.platform._http import HttpResponse
from cassiaweir.types import Check, Resources, Write
from cassiaweir.verdict import Verdict
from tests.site_fakes import QUEUE

SECOND = timedelta(seconds=1)
ENTRY = ServerEntry("i-1", "10.0.0.1:80", "s", "augusta")


class FakeTransport:
    """Answers calls to the store with prepared answers and records the calls."""

    def __init__(self, *answers: tuple[int, object]) -> None:
        self.answers = list(answers)
        self.calls: list[tuple[str, str, object]] = []

    async def call(self, method, path, data, wait):
        """Record the call and return the next prepared answer."""
        body = None if data is None else msgspec.json.decode(data)
        self.calls.append((method, path, body))
        status, answer = self.answers.pop(0)
        return status, msgspec.json.encode(answer)


class FakeSession:
    """Answers each call to a server with the same response and records the calls."""

    def __init__(self, status: int, body: object = None) -> None:
        self.response = HttpResponse(status, msgspec.json.encode(body or {}))
        self.sent: list[tuple[str, dict, dict]] = []

    async def send(self, method, address, path, data, timeout, headers=None):
        """Record the call and return the prepared response."""
        self.sent.append((path, msgspec.json.decode(data), headers))
        return self.response


def row(key: str, value: bytes, ver: int, part: str = "p") -> dict:
    encoded = base64.b64encode(value).decode()
    return {"table": "t", "part": part, "key": key, "value": encoded, "ver": ver}


async def test_a_commit_names_table_part_and_key_of_each_row():
    transport = FakeTransport((200, {"ver": 9, "now_ms": 1}))
    versions = await PlatformStore(transport).commit(
        [Check("t/p/a", 3)], [Write("t/p/a", b"x"), Write("t/p/b", None)]
    )
    assert versions == {"t/p/a": 9, "t/p/b": 9}
    assert transport.calls == [
        (
            "POST",
            "/rows-tx",
            {
                "expect_rev": [{"table": "t", "part": "p", "key": "a", "ver": 3}],
                "writes": [{"table": "t", "part": "p", "key": "a", "value": "eA=="}],
                "remove": [{"table": "t", "part": "p", "key": "b"}],
            },
        )
    ]


@pytest.mark.parametrize(
    ("status", "expected"),
    [(412, ConflictError), (503, UnavailableError), (429, UnavailableError)],
)
async def test_refused_commits_did_nothing(status, expected):
    store = PlatformStore(FakeTransport((status, {})))
    with pytest.raises(expected) as caught:
        await store.commit([], [Write("t/p/a", b"x")])
    if isinstance(caught.value, UnavailableError):
        assert caught.value.verdict is Verdict.NOT_RUN


async def test_an_unclear_answer_to_a_commit_leaves_it_in_doubt():
    store = PlatformStore(FakeTransport((500, {})))
    with pytest.raises(UnavailableError) as caught:
        await store.commit([], [Write("t/p/a", b"x")])
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


async def test_a_snapshot_reads_all_pages_and_keeps_the_version_of_the_first():
    transport = FakeTransport(
        (200, {"rows": [row("a", b"1", 3)], "more_pages": True, "ver": 7}),
        (200, {"rows": [row("b", b"2", 8)], "more_pages": False, "ver": 9}),
    )
    snapshot = await PlatformStore(transport).snapshot("t/p/")
    assert [found.key for found in snapshot.rows] == ["t/p/a", "t/p/b"]
    assert snapshot.version == 7
    second = parse_qs(urlsplit(transport.calls[1][1]).query)
    assert second["from"] == ["a\0"]


async def test_changes_list_written_and_removed_rows():
    removed_row = {"table": "t", "key": "b", "removed": True, "ver": 8}
    transport = FakeTransport(
        (200, {"rows": [row("a", b"1", 7), removed_row], "ver": 8})
    )
    changes = await PlatformStore(transport).changes("t", 5, SECOND)
    assert [found.value for found in changes.written] == [b"1"]
    assert changes.removed == ["t//b"]
    assert changes.version == 8


async def test_changes_beyond_the_kept_history_raise_history_lost_error():
    store = PlatformStore(FakeTransport((410, {})))
    with pytest.raises(HistoryLostError):
        await store.changes("t", 5, SECOND)


def test_an_entry_of_a_server_is_decoded():
    raw = msgspec.json.encode(
        {
            "service": "s",
            "addr": "10.0.0.1:80",
            "zone": "augusta",
            "state": "draining",
            "room": {"cpu": 16_000, "mem_mb": 64},
            "labels": ["a", "r1-3"],
            "remaining_ms": 2_500,
            "born": 12,
            "seq": 4,
        }
    )
    entry = decode_server_entry("i-1", raw)
    assert entry.capacity == Resources(16_000, 64)
    assert (entry.rack, entry.draining, entry.leaves_in_s) == ("r1-3", True, 2.5)
    assert entry.born == 12


@pytest.mark.parametrize(
    "raw", [b"\xff", b"{}", b'{"service":1}', b"[]", b'{"state":"odd"}']
)
def test_malformed_entries_are_refused(raw: bytes):
    with pytest.raises(InvalidInputError):
        decode_server_entry("i-1", raw)


async def test_a_report_lists_runs_and_ends():
    body = {
        "clock_ms": 5,
        "born": 2,
        "running": [["j.0.0.1", 2, "cp", 41, 300]],
        "ended": [[58, "j.0.0.9", 1, "done", ""]],
    }
    session = FakeSession(200, body)
    report = await HttpServerClient(session).renew_lease(
        ENTRY, epoch=7, until_ms=9, acknowledged=57, wait=SECOND, timeout=SECOND
    )
    assert report.running[0].percent == 41
    assert report.ended[0].kind is EndKind.DONE
    path, sent, headers = session.sent[0]
    assert path == "/hold"
    assert sent == {"fence": 7, "until_ms": 9, "acked_upto": 57, "wait_ms": 1_000}
    assert headers["X-Expect-Instance"] == "i-1"


async def test_another_lifetime_at_a_servers_address_raises_lifetime_ended_error():
    with pytest.raises(LifetimeEndedError):
        await HttpServerClient(FakeSession(421)).renew_lease(
            ENTRY, epoch=7, until_ms=9, acknowledged=0, wait=SECOND, timeout=SECOND
        )


async def test_a_server_that_follows_a_higher_epoch_raises_fenced_error():
    with pytest.raises(FencedError):
        await HttpServerClient(FakeSession(409)).renew_lease(
            ENTRY, epoch=7, until_ms=9, acknowledged=0, wait=SECOND, timeout=SECOND
        )


@pytest.mark.parametrize("ended", [[["x"]], [[1, "t", 1, "odd", ""]], [7]])
async def test_a_malformed_report_raises_unavailable_error(ended):
    session = FakeSession(200, {"clock_ms": 1, "ended": ended})
    with pytest.raises(UnavailableError):
        await HttpServerClient(session).renew_lease(
            ENTRY, epoch=1, until_ms=9, acknowledged=0, wait=SECOND, timeout=SECOND
        )


@pytest.mark.parametrize(
    ("status", "reason", "expected"),
    [
        (200, "", OrderOutcome.ACCEPTED),
        (409, "fence", OrderOutcome.FENCED),
        (409, "old", OrderOutcome.OLD_RUN),
        (409, "late", OrderOutcome.TOO_LATE),
        (409, "room", OrderOutcome.NO_ROOM),
        (409, "ticket", OrderOutcome.NO_TICKET),
        (409, "new words", OrderOutcome.INVALID),
        (421, "", OrderOutcome.OTHER_LIFETIME),
        (429, "", OrderOutcome.UNHEALTHY),
        (503, "", OrderOutcome.UNHEALTHY),
        (400, "", OrderOutcome.INVALID),
    ],
)
async def test_each_answer_to_a_start_has_its_outcome(status, reason, expected):
    client = HttpServerClient(FakeSession(status, {"reason": reason}))
    order = StartOrder("j.0.0.1", 2, "x", 9, 7, ticket="t")
    assert await client.start(ENTRY, order, SECOND) is expected


# Guards against a start or a stop that raises for an answer of a server.
@pytest.mark.parametrize("raw", [b'{"x":' + b"[" * 100_000, b'{"reason":"\xff"}', b""])
async def test_a_refusal_that_cannot_be_read_is_one(raw: bytes):
    session = FakeSession(409)
    session.response = HttpResponse(409, raw)
    stopped = await HttpServerClient(session).stop_run(ENTRY, "j.0.0.1", 2, 7, SECOND)
    assert stopped is OrderOutcome.INVALID


def test_a_manifest_is_decoded_to_queues_customers_and_keys():
    manifest = {
        "version": 7,
        "routes": [
            {"name": "a", "host": "h", "prefix": "/x/", "service": "s"},
            {
                "name": "b",
                "host": "h",
                "prefix": "/x/y/",
                "service": "s",
                "attempts": 3,
                "slo_ms": 250,
                "hint": {"decide_ms": 16.0, "each_ms": 0.15, "valid_ms": 2500},
                "public": True,
            },
        ],
        "services": [{"name": "s"}],
        "tenants": [{"name": "t", "keys": ["k"], "weight": 14, "cap": {"cpu": 5}}],
    }
    found = decode_manifest(msgspec.json.encode(manifest))
    assert found.find_queue("h", "/x/y/1").name == "b"
    assert found.find_queue("h", "/x/z").name == "a"
    assert found.find_queue("other", "/x/z") is None
    queue = found.queue_named("b")
    assert (queue.most_failures, queue.slack_s, queue.public) == (3, 0.25, True)
    assert queue.advice.valid_s == 2.5
    assert found.customer_of("k").cap == Resources(5)
    assert found.customer_of("other") is None


@pytest.mark.parametrize("raw", [b"", b"{", b'{"version":"x"}', b'{"routes":[]}'])
def test_a_malformed_manifest_is_refused(raw: bytes):
    with pytest.raises(InvalidInputError):
        decode_manifest(raw)


def decode(raw: bytes):
    return PlatformJobCodec().decode_submission(
        raw, job_id="0" * 16, queue=QUEUE, customer="c", submitted_at=1.0
    )


def test_a_submission_is_decoded():
    raw = msgspec.json.encode(
        {
            "spec": "run it",
            "steps": [
                {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900},
                {
                    "count": 2,
                    "after": [0],
                    "gang": True,
                    "affinity": "r1-3",
                    "anti_affinity": 1,
                    "requires": "a",
                },
            ],
        }
    )
    spec = decode(raw)
    assert spec.steps[0].demand == Resources(500, 256)
    assert spec.steps[0].estimate_s == 0.9
    second = spec.steps[1]
    assert (second.rack, second.most_per_server, second.label) == ("r1-3", 1, "a")


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b'{"spec":"x"}',
        b'{"spec":"x","steps":[]}',
        b'{"spec":"x","steps":[{"count":"4"}]}',
        b'{"spec":"x","steps":[{"count":1,"after":[0]}]}',
        b'{"spec":"x","steps":[{"count":1}],"times":-1}',
        b'{"spec":"' + b"x" * 4_001 + b'","steps":[{"count":1}]}',
    ],
)
def test_malformed_submissions_are_refused(raw: bytes):
    with pytest.raises(InvalidInputError):
        decode(raw)


# Guards against jobs of many steps, which take far more memory than their bodies.
def test_the_memory_of_a_submission_grows_with_its_steps():
    few = b'{"spec":"x","steps":[{"count":1}]}'
    many = b'{"spec":"x","steps":[' + b",".join([b'{"count":1}'] * 1_000) + b"]}"
    codec = PlatformJobCodec()
    assert codec.submission_memory(few) < 4_096
    assert codec.submission_memory(many) > 1_000 * 1_024
    assert codec.submission_memory(few.ljust(262_144)) < 5 * 262_144


SETTINGS = """
node = "front-augusta-1"
zone = "augusta"
seeds = ["10.1.0.17:8180"]
new_field = 3
[listen]
front = "10.1.0.17:8183"
ready = "10.1.0.17:8184"
control = "10.1.0.17:8180"
[bounds]
revoke_ms = 5000
[platform]
addr = "10.200.1.7:8182"
"""


def test_the_settings_file_is_read_and_new_fields_are_ignored(tmp_path: Path):
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS)
    found = load_local_settings(path)
    assert found.peer_address == "10.1.0.17:8180"
    assert found.key_withdrawal_s == 5
    assert found.advice_address == ""


# Guards against limits in the settings file that are not applied.
def test_limits_of_http_clients_follow_from_the_settings_file(tmp_path: Path):
    path = tmp_path / "local.toml"
    path.write_text(f"{SETTINGS}[limits]\nmemory_mb = 100.5\nmax_fds = 600\n")
    assert load_local_settings(path).http_limits.callers.max_connections == 200
    path.write_text(f"{SETTINGS}[http]\nmax_connections = 7\nidle_timeout_s = 9\n")
    callers = load_local_settings(path).http_limits.callers
    assert (callers.max_connections, callers.idle_timeout_s) == (7, 9)


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("[limits]\nmemory_mb = -1\n", "memory_mb"),
        ('[limits]\nmax_fds = "many"\n', "max_fds"),
        ("[limits]\nmax_fds = 100\n", "max_fds"),
        ("[http]\nmax_connections = 0\n", "max_connections"),
        ("[http]\nmax_connections = 10000\n", "max_connections"),
        ("[http]\nbody_memory_mb = 257\n", "body_memory_mb"),
        ("[http]\nbody_timeout_s = -1\n", "body_timeout_s"),
        ("[http]\nhead_timeout_s = 1.5\n", "head_timeout_s"),
        ("[http]\nmax_head_bytes = 100\n", "max_head_bytes"),
    ],
)
def test_an_invalid_limit_is_named(tmp_path: Path, text: str, named: str):
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS + text)
    with pytest.raises(SettingsError, match=rf"local\.toml.*{named}"):
        load_local_settings(path)


@pytest.mark.parametrize(
    "text", ["", "node = 3", SETTINGS.replace("[listen]", "[x]"), "="]
)
def test_the_error_names_the_invalid_settings_file(tmp_path: Path, text: str):
    path = tmp_path / "local.toml"
    path.write_text(text)
    with pytest.raises(SettingsError, match=r"local\.toml"):
        load_local_settings(path)
