"""Fuzz tests: a malformed message from outside raises the documented error, if any.

Anything else would end the task of the process that decodes it.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaweir.dispatch import ServerReport
from cassiaweir.dispatch._server_records import decode_former_tasks
from cassiaweir.exceptions import InvalidInputError, UnavailableError
from cassiaweir.jobs import Job, JobSpec, StepSpec, apply_progress, decode_outcome
from cassiaweir.leadership import Owner, decode_owner
from cassiaweir.peers import registered_instance
from cassiaweir.peers._members import _decode_member
from cassiaweir.platform import PlatformJobCodec
from cassiaweir.platform._manifest import decode_manifest
from cassiaweir.platform._servers import _decode_report, decode_server_entry
from cassiaweir.types import Resources, Row
from tests.site_fakes import QUEUE

MAX_EXAMPLES = 150
NAMES = [
    "version", "routes", "services", "tenants", "limits", "name", "host", "prefix",
    "service", "attempts", "stretch", "hint", "keys", "cap", "cpu", "state", "addr",
    "zone", "room", "labels", "born", "clock_ms", "running", "ended", "spec", "steps",
    "count", "after", "times", "first_ms", "epoch", "node", "instance", "address",
    "tasks", "outcome", "begun", "cores",
]  # fmt: skip
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=8),
    st.sampled_from(["ready", "done", "failed", "a.0.0.0", "00000000000000aa"]),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=5),
        st.dictionaries(st.sampled_from(NAMES), inner, max_size=8),
    ),
    max_leaves=30,
)
DOCUMENTS = st.dictionaries(st.sampled_from(NAMES), VALUES, max_size=10)


def encode(value: object) -> bytes:
    return msgspec.json.encode(value)


MESSAGES = st.one_of(
    st.binary(max_size=40),
    VALUES.map(encode),
    DOCUMENTS.map(encode),
    DOCUMENTS.map(encode).map(lambda raw: raw[: len(raw) * 2 // 3]),
)


def decode_body(raw: bytes) -> JobSpec:
    return PlatformJobCodec().decode_submission(
        raw, job_id="0" * 16, queue=QUEUE, customer="agency", submitted_at=0.0
    )


def decode_progress(raw: bytes) -> None:
    spec = JobSpec("0" * 16, QUEUE, "c", "x", (StepSpec(count=2),), 0.0)
    apply_progress(Job(spec, 1, 3), [raw])


def decode_record(raw: bytes) -> object:
    former = Owner(1, "vm", "vm-1", "vm:1", task_records_since=1)
    return decode_former_tasks([Row("known/main/i-1", 1, raw)], former)


DECODERS: dict[str, Callable[[bytes], object]] = {
    "manifest": decode_manifest,
    "server_entry": lambda raw: decode_server_entry("i-1", raw),
    "server_report": lambda raw: _decode_report("i-1", raw),
    "submission": decode_body,
    "stored_job": JobSpec.decode,
    "stored_progress": decode_progress,
    "stored_outcome": decode_outcome,
    "owner_row": lambda raw: decode_owner(Row("lead/main/owner", 1, raw)),
    "member_row": lambda raw: _decode_member(Row("nodes//vm", 1, raw)),
    "server_record": decode_record,
}


@pytest.mark.parametrize("name", DECODERS)
@settings(derandomize=True, deadline=None, max_examples=MAX_EXAMPLES)
@given(raw=MESSAGES)
def test_a_malformed_message_raises_no_other_error(name: str, raw: bytes) -> None:
    try:
        DECODERS[name](raw)
    except (InvalidInputError, UnavailableError):
        return


@pytest.mark.parametrize(
    "name", ["manifest", "server_entry", "server_report", "submission"]
)
def test_a_message_nested_too_deeply_raises_no_other_error(name: str) -> None:
    """Guards against a RecursionError for a document of others, in an unknown field."""
    raw = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    with pytest.raises((InvalidInputError, UnavailableError)):
        DECODERS[name](raw)


@pytest.mark.parametrize(
    "row",
    [
        ["a.0.0.0", 1, "", 40, 0.5],
        ["a.0.0.0", 1],
        ["a.0.0.0", "1", "", 40],
        ["a.0.0.0", 1, "", "40"],
        ["a.0.0.0", 1, {}, 40],
        [["a"], 1, "", 40],
        [{}, 1, "", 40],
        ["a.0.0.0", None, "", 40],
        ["a.0.0.0", 1, "", None],
    ],
)
def test_rows_of_a_report_have_their_types_or_the_report_is_rejected(
    row: list[object],
) -> None:
    raw = encode({"clock_ms": 1, "running": [row], "ended": []})
    try:
        report = _decode_report("i-1", raw)
    except UnavailableError:
        return
    check_types(report)


@pytest.mark.parametrize(
    "row",
    [
        [1, "a.0.0.0", 1, "done", ""],
        ["1", "a.0.0.0", 1, "done", ""],
        [1, ["a"], 1, "done", ""],
        [1, "a.0.0.0", "1", "done", ""],
        [1, "a.0.0.0", 1, "vanished", ""],
        [1, "a.0.0.0", 1, "done"],
        [1, "a.0.0.0", 1, "done", 7],
        [None, "a.0.0.0", 1, "done", ""],
    ],
)
def test_ends_of_a_report_have_their_types_or_the_report_is_rejected(
    row: list[object],
) -> None:
    raw = encode({"clock_ms": 1, "running": [], "ended": [row]})
    try:
        report = _decode_report("i-1", raw)
    except UnavailableError:
        return
    check_types(report)


def check_types(report: ServerReport) -> None:
    for running in report.running:
        assert isinstance(running.task, str)
        assert isinstance(running.run, int)
        assert isinstance(running.checkpoint, str)
        assert isinstance(running.percent, int | float)
    for end in report.ended:
        assert isinstance(end.number, int)
        assert isinstance(end.task, str)
        assert isinstance(end.run, int)
        assert isinstance(end.checkpoint, str)


ENTRY = {
    "service": "inventory", "addr": "10.0.0.1:80", "zone": "z", "state": "ready",
    "room": {"cpu": 16_000, "mem_mb": 64_000}, "labels": ["r1-0"], "born": 1,
}  # fmt: skip


def test_an_entry_of_another_writer_may_have_further_fields():
    entry = decode_server_entry("i-1", encode({**ENTRY, "colour": [1, {"a": None}]}))
    assert entry.capacity == Resources(16_000, 64_000)


# Guards against one odd entry by which no deadline means anything, no job is accepted,
# or a poller fails six times a second.
@pytest.mark.parametrize(
    "field",
    [
        b'"room":{"cpu":' + b"9" * 400 + b"}",
        b'"room":{"cpu":1000000000000000000}',
        b'"room":{"cpu":-3000000}',
        b'"room":{"cpu":1e400}',
        b'"room":{"mem_mb":-1}',
        b'"room":{"gpu":99999999999}',
        b'"room":null',
        b'"addr":"..:80"',
        b'"addr":"' + b"a" * 64 + b':80"',
        b'"addr":"10.0.0.1:0"',
        b'"addr":"10.0.0.1:65536"',
        b'"addr":"10.0.0.1:99999999999999999999"',
        b'"addr":"10.0.0.1:\\u0664"',
        b'"addr":":80"',
        b'"addr":"a b:80"',
        b'"addr":"a\nb:80"',
        b'"addr":"user@a:80"',
        b'"addr":"a/b:80"',
        b'"addr":"[::g]:80"',
        b'"addr":"10.0.0.1"',
        b'"addr":""',
        b'"born":-1',
        b'"born":1.5',
        b'"born":99999999999999999999',
        b'"remaining_ms":1e300',
        b'"cold_left_ms":1e300',
        b'"state":"' + b"x" * 300 + b'"',
        b'"labels":' + b"[" * 100_000,
    ],
)
def test_an_entry_with_an_impossible_value_names_no_server(field: bytes):
    raw = encode(ENTRY)[:-1] + b"," + field + b"}"
    with pytest.raises(InvalidInputError):
        decode_server_entry("i-1", raw)


@pytest.mark.parametrize("server_id", ["", "a b", "i-\n1", "i-\u00e9", "x" * 201])
def test_an_id_that_cannot_be_sent_in_a_header_names_no_server(server_id: str):
    with pytest.raises(InvalidInputError):
        decode_server_entry(server_id, encode(ENTRY))


@pytest.mark.parametrize(
    "address", ["10.0.0.1:80", "a-1.b_c.example:8182", "a.example.:1", "[::1]:65535"]
)
def test_usual_addresses_are_accepted(address: str):
    entry = decode_server_entry("i-1", encode({**ENTRY, "addr": address}))
    assert entry.address == address


@pytest.mark.parametrize("raw", [b"", b"[]", b"{}", b"[" * 100_000, b'{"instance":1}'])
def test_an_unreadable_member_row_names_no_process(raw: bytes):
    assert registered_instance(Row("nodes//vm", 1, raw)) is None
