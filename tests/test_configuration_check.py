"""Tests of `cassiaweir check-configuration`."""

import copy
import json
import random
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaweir.cmdline import main
from cassiaweir.configuration_check import (
    Change,
    CheckedWith,
    UnreadableFileError,
    check_files,
    find_contradictions,
    find_differences,
    read_configuration,
    read_servers,
)
from cassiaweir.exceptions import InvalidInputError
from cassiaweir.platform import decode_manifest
from cassiaweir.platform._manifest import (
    Cap,
    Hint,
    Limits,
    Manifest,
    Route,
    Service,
    Tenant,
    parse_manifest,
)

ROOT = Path(__file__).parent.parent
EXAMPLE = ROOT / "examples" / "configuration"
PAGE = ROOT / "docs" / "operators" / "check-a-configuration.md"
EXAMPLE_LINE = (
    "new.json --in-force in-force.json "
    "--servers servers.json --job agency gang-job.json"
)
EXAMPLE_OPTIONS = EXAMPLE_LINE.split()
SECRET = "secret-key-of-an-agency"

QUEUE = {"name": "q", "host": "h", "prefix": "/q/", "service": "s", "slo_ms": 1000}
VALID = {
    "version": 2,
    "routes": [QUEUE],
    "services": [{"name": "s"}],
    "tenants": [{"name": "t", "keys": [SECRET], "cap": {"cpu": 4000}}],
}


def run(*words):
    return CliRunner().invoke(main, ["check-configuration", *map(str, words)])


def write(folder, name, value):
    path = folder / name
    path.write_bytes(value if isinstance(value, bytes) else msgspec.json.encode(value))
    return path


def with_queue(**fields):
    return {**VALID, "routes": [{**QUEUE, **fields}]}


def with_customer(**fields):
    return {**VALID, "tenants": [{**VALID["tenants"][0], **fields}]}


def test_a_valid_configuration_has_no_findings_and_exits_with_0(tmp_path):
    path = write(tmp_path, "new.json", VALID)
    result = run(path, "--in-force", path)
    assert result.exit_code == 0
    assert result.output.endswith("0 findings, 0 differences\n")


@pytest.mark.parametrize(
    "raw",
    [b"", b"{", b"\xff", b"[" * 100_000, b'{"version":1,"x":"\xff"}', None],
    ids=["empty", "cut", "binary", "deep", "not UTF-8", "missing"],
)
@pytest.mark.parametrize("option", [None, "--in-force", "--servers", "--job"])
def test_an_unreadable_file_gives_one_line_and_exits_with_2(tmp_path, raw, option):
    bad = tmp_path / "bad.json" if raw is None else write(tmp_path, "bad.json", raw)
    good = write(tmp_path, "new.json", VALID)
    words = [good, option, *(["t"] if option == "--job" else []), bad]
    result = run(*(words if option else [bad]), "--json")
    assert result.exit_code == 2
    assert (result.stdout, len(result.stderr.splitlines())) == ("", 1)
    assert result.stderr.startswith(f"cassiaweir: {bad}: ")


MALFORMED = [
    ([], "$", "Expected `object`, got `array`"),
    ({}, "version", "missing"),
    ({**VALID, "rutes": []}, "rutes", "unknown field"),
    ({**VALID, "routes": {}}, "routes", "Expected `array`"),
    ({**VALID, "routes": [3]}, "routes[0]", "Expected `object`"),
    (with_queue(service=3), "routes[0].service", "Expected `str`, got `int`"),
    (with_queue(hint={"decide_ms": "x"}), "routes[0].hint.decide_ms", "Expected"),
    (with_queue(hint={"wait": 1}), "routes[0].hint.wait", "unknown field"),
    (with_customer(keys=[7]), "tenants[0].keys[0]", "Expected `str`"),
    (with_customer(cap={"cpu": 1.5}), "tenants[0].cap.cpu", "Expected `int`"),
    (b'{"version": 1, "tenants": [{"name": "t", "weight": 1e999}]}',
     "tenants[0].weight", "Number out of range"),
]  # fmt: skip


@pytest.mark.parametrize(("value", "key", "reason"), MALFORMED)
def test_a_malformed_field_is_a_finding_with_its_path(tmp_path, value, key, reason):
    path = write(tmp_path, "new.json", value)
    found = read_configuration(path).findings
    assert (str(path), key) in [(each.file, each.key) for each in found]
    assert any(reason in each.reason for each in found)
    assert run(path).exit_code == 1


def test_all_malformed_fields_are_found_at_once(tmp_path):
    value = {"version": "x", "routes": [{"name": 1, "host": "h", "old": 1}]}
    found = read_configuration(write(tmp_path, "new.json", value)).findings
    assert sorted(each.key for each in found) == [
        "routes[0].name", "routes[0].old", "routes[0].prefix", "routes[0].service",
        "version",
    ]  # fmt: skip


CONTRADICTIONS = [
    ({**VALID, "version": 0}, "version"),
    ({**VALID, "limits": {"max_body_bytes": 0}}, "limits.max_body_bytes"),
    ({**VALID, "routes": [QUEUE, {**QUEUE, "prefix": "/r/"}]}, "routes[1].name"),
    ({**VALID, "routes": [QUEUE, {**QUEUE, "name": "r"}]}, "routes[1].prefix"),
    (with_queue(name=""), "routes[0].name"),
    (with_queue(host="h:80"), "routes[0].host"),
    (with_queue(prefix="q/"), "routes[0].prefix"),
    (with_queue(prefix="/q"), "routes[0].prefix"),
    (with_queue(priority=-1), "routes[0].priority"),
    (with_queue(attempts=0), "routes[0].attempts"),
    (with_queue(slo_ms=-1), "routes[0].slo_ms"),
    (with_queue(stretch=0), "routes[0].stretch"),
    (with_queue(stretch=0.5, slo_ms=0), "routes[0].stretch"),
    (with_queue(stretch=0.5), "routes[0].stretch"),
    (with_queue(hint={"decide_ms": 5}), "routes[0].hint.valid_ms"),
    (with_queue(hint={"each_ms": -1, "valid_ms": 9}), "routes[0].hint.each_ms"),
    (with_queue(hint={"decide_ms": 1001, "valid_ms": 9}), "routes[0].slo_ms"),
    ({**VALID, "services": [*VALID["services"], {"name": "x"}]}, "services[1]"),
    ({**VALID, "services": [{"name": "s", "health_path": "h"}]},
     "services[0].health_path"),
    (with_customer(weight=0), "tenants[0].weight"),
    (with_customer(cap={"gpu": -1}), "tenants[0].cap.gpu"),
    (with_customer(keys=[]), "tenants[0].keys"),
    (with_customer(keys=[""]), "tenants[0].keys[0]"),
    ({**VALID, "tenants": [*VALID["tenants"], {"name": "u", "keys": [SECRET]}]},
     "tenants[1].keys[0]"),
]  # fmt: skip


@pytest.mark.parametrize(("value", "key"), CONTRADICTIONS)
def test_a_contradiction_is_one_finding_with_its_path(value, key):
    manifest = parse_manifest(msgspec.json.encode(value))
    found = find_contradictions("f", manifest, CheckedWith())
    assert [each.key for each in found] == [key]
    assert SECRET not in found[0].reason


def test_longer_prefixes_of_a_host_and_equal_ones_of_others_are_not_hidden():
    others = [{"name": "r", "prefix": "/q/r/"}, {"name": "o", "host": "other"}]
    routes = [QUEUE, *({**QUEUE, **each} for each in others)]
    manifest = parse_manifest(msgspec.json.encode({**VALID, "routes": routes}))
    assert not find_contradictions("f", manifest, CheckedWith())


@pytest.mark.parametrize(("stretch", "slo_ms", "late"), [
    (1, 30, "no job"), (2, 30, "shorter than 0.02 s"), (2, 50, None),
])  # fmt: skip
def test_an_objective_has_to_leave_time_for_the_advice(stretch, slo_ms, late):
    hint = {"decide_ms": 20, "each_ms": 1, "valid_ms": 2500}
    value = with_queue(stretch=stretch, slo_ms=slo_ms, hint=hint)
    manifest = parse_manifest(msgspec.json.encode(value))
    found = find_contradictions("f", manifest, CheckedWith())
    assert [late in each.reason for each in found] == ([True] if late else [])


SERVER = {"service": "s", "addr": "a:1", "zone": "z", "state": "ready", "room": {}}


@pytest.mark.parametrize(("servers", "key", "reason"), [
    ({"i": SERVER}, None, ""),
    ({}, "routes[0].service", "has no servers"),
    ({"i": {**SERVER, "state": "draining"}}, "routes[0].service", "drain"),
    ({"i": {**SERVER, "service": "x"}}, "routes[0].service", "has no servers"),
    ({"i": {**SERVER, "room": {"cpu": "x"}}}, "i.room.cpu", "Expected `int`"),
    ({"i": {**SERVER, "state": "x"}}, "i", "unknown state"),
    ({"i": {**SERVER, "future": 1}}, None, ""),
    ([SERVER], "$", "by its id"),
])  # fmt: skip
def test_queues_are_compared_with_the_servers(tmp_path, servers, key, reason):
    path = write(tmp_path, "new.json", VALID)
    servers_path = write(tmp_path, "servers.json", servers)
    findings = check_files(path, servers_path=servers_path).findings
    assert [each.key for each in findings] == ([key] if key else [])
    assert all(reason in each.reason for each in findings)


@pytest.mark.parametrize(("step", "keys"), [
    ({"count": 9, "cpu": 4000}, []),
    ({"count": 1, "cpu": 4001}, ["tenants[0].cap.cpu"]),
    ({"count": 2, "cpu": 2001, "gang": True}, ["tenants[0].cap.cpu"]),
    ({"count": 1, "mem_mb": 9}, []),
    ({"count": 0}, ["steps[0].count"]),
    ({"count": "x"}, ["steps[0].count"]),
])  # fmt: skip
def test_caps_are_compared_with_tasks_and_whole_gangs(tmp_path, step, keys):
    path = write(tmp_path, "new.json", VALID)
    job = write(tmp_path, "job.json", {"spec": "", "steps": [step]})
    assert [each.key for each in check_files(path, jobs=(("t", job),)).findings] == keys
    if step["count"]:
        assert not check_files(path, jobs=(("u", path),)).complete


def test_a_job_of_an_unknown_customer_is_a_finding(tmp_path):
    """A misspelt name would otherwise skip the comparison silently."""
    path = write(tmp_path, "new.json", VALID)
    job = write(tmp_path, "job.json", {"spec": "", "steps": [{"count": 1}]})
    findings = check_files(path, jobs=(("x", job),)).findings
    assert [(each.file, each.key) for each in findings] == [(str(job), "$")]


@pytest.mark.parametrize(("value", "change", "field", "meaning"), [
    (with_customer(cap={"cpu": 3000}), "changed", "cap.cpu", "less than allowed"),
    (with_customer(cap={"cpu": 4000, "gpu": 1}), "changed", "cap.gpu", "less than"),
    (with_customer(cap={}), "changed", "cap.cpu", "no limit any more"),
    (with_customer(weight=0.5), "changed", "weight", "smaller share"),
    (with_customer(keys=[]), "removed", "keys", "stops working within seconds"),
    (with_customer(keys=[SECRET, "x"]), "added", "keys", "works within seconds"),
    (with_queue(service="x"), "changed", "service", "tasks start on servers of x"),
    (with_queue(prefix="/x/"), "changed", "prefix", "no longer reach it"),
    (with_queue(public=True), "changed", "public", "need no key"),
    (with_queue(slo_ms=10), "changed", "slo_ms", "less time"),
    (with_queue(hint={"valid_ms": 9}), "added", "hint.valid_ms", "need advice"),
    ({**VALID, "routes": []}, "removed", "", "no longer reach it"),
    ({**VALID, "tenants": [*VALID["tenants"], {"name": "u"}]}, "added", "", ""),
    ({**VALID, "limits": {"max_body_bytes": 9}}, "changed", "max_body_bytes", "413"),
])  # fmt: skip
def test_a_difference_says_what_it_means(value, change, field, meaning):
    before = parse_manifest(msgspec.json.encode(VALID))
    found = find_differences(before, parse_manifest(msgspec.json.encode(value)))
    match = [each for each in found if (each.change, each.field) == (change, field)]
    assert len(match) == 1, found
    assert meaning in match[0].meaning


def test_a_key_that_moves_to_another_customer_does_not_stop_working():
    value = {**VALID, "tenants": [{"name": "u", "keys": [SECRET]}]}
    before = parse_manifest(msgspec.json.encode(VALID))
    found = find_differences(before, parse_manifest(msgspec.json.encode(value)))
    texts = [each.meaning for each in found if each.field == "keys"]
    assert texts == [
        "counts for customer u within seconds",
        "counted for customer t before",
    ]


def test_a_changed_file_needs_a_higher_version(tmp_path):
    """Entry VMs ignore a row whose version is not above the one that they use."""
    new = write(tmp_path, "new.json", with_customer(weight=3))
    old = write(tmp_path, "old.json", VALID)
    assert [each.key for each in check_files(new, old).findings] == ["version"]


def test_no_output_contains_a_key(tmp_path):
    duplicate = {"name": "u", "keys": [SECRET, SECRET, 5, {SECRET: SECRET}]}
    for tenants in ([], [{"name": "t"}], [*VALID["tenants"], duplicate]):
        new = write(tmp_path, "new.json", {**VALID, "tenants": tenants})
        old = write(tmp_path, "old.json", VALID)
        for words in ((new, "--in-force", old), (old, "--in-force", new)):
            for option in ([], ["--json"]):
                result = run(*words, *option)
                assert result.output
                assert SECRET not in result.output + result.stderr


def test_the_example_prints_what_the_page_shows(monkeypatch):
    monkeypatch.chdir(EXAMPLE)
    result = run(*EXAMPLE_OPTIONS)
    assert result.exit_code == 1
    assert result.output == (EXAMPLE / "output.txt").read_text()
    page = PAGE.read_text()
    assert EXAMPLE_LINE in " ".join(page.replace("\\", "").split())
    for line in result.output.splitlines():
        assert f"    {line}\n" in page
    report = json.loads(run(*EXAMPLE_OPTIONS, "--json").output)
    assert (len(report["findings"]), len(report["differences"])) == (7, 7)


NAMES = st.sampled_from(["a", "b", "c", "", "a#2"])
NUMBERS = st.integers(-3, 2**70) | st.floats(allow_nan=False, allow_infinity=False)
FIELD_WORDS = (
    "version routes services tenants limits name host prefix service hint keys cap cpu "
    "weight max_body_bytes valid_ms room state addr zone labels spec steps count"
)
FIELD_NAMES = FIELD_WORDS.split()
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | NUMBERS | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(FIELD_NAMES) | st.text(max_size=3),
            inner,
            max_size=5,
        )
    ),
    max_leaves=20,
)
ROUTES = st.builds(
    Route, NAMES, NAMES, NAMES, NAMES, hint=st.none() | st.builds(Hint, NUMBERS)
)
MANIFESTS = st.builds(
    Manifest,
    st.integers(0, 3),
    st.lists(ROUTES, max_size=4),
    st.lists(st.builds(Service, NAMES, NAMES), max_size=4),
    st.lists(
        st.builds(
            Tenant,
            NAMES,
            st.lists(NAMES, max_size=3),
            st.integers(0, 2),
            st.builds(Cap, st.integers(0, 2)),
        ),
        max_size=4,
    ),
    st.builds(Limits, st.integers(0, 2)),
)


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    return tmp_path_factory.mktemp("check")


@settings(derandomize=True, deadline=None, max_examples=300)
@given(value=JSON_VALUES, broken=st.none() | st.text(max_size=4))
def test_no_json_raises_and_the_findings_agree_with_the_decoder(folder, value, broken):
    """Guards against a trace for a bad file, and against a file accepted wrongly."""
    if isinstance(value, dict):
        value.setdefault("version", 1)
    # Not every integer fits into what msgspec encodes.
    raw = json.dumps(value).encode()
    path = write(folder, "new.json", raw if broken is None else raw + broken.encode())
    try:
        report = check_files(path, path, path, (("a", path),))
    except UnreadableFileError:
        with pytest.raises(InvalidInputError):
            decode_manifest(path.read_bytes())
        return
    assert not report.complete
    found = read_configuration(path)
    malformed = any(each.malformed for each in found.findings)
    assert malformed == (found.manifest is None)
    if found.manifest is None:
        with pytest.raises(InvalidInputError):
            decode_manifest(path.read_bytes())
    assert run(path, "--in-force", path, "--json").exit_code in (0, 1)
    read_servers(path)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(manifest=MANIFESTS, seed=st.integers(0, 99))
def test_the_order_of_entries_does_not_matter(manifest, seed):
    shuffled = copy.deepcopy(manifest)
    source = random.Random(seed)
    for entries in (shuffled.routes, shuffled.services, shuffled.tenants):
        source.shuffle(entries)
    for tenant in shuffled.tenants:
        source.shuffle(tenant.keys)
    assert find_differences(manifest, shuffled) == []


@settings(derandomize=True, deadline=None, max_examples=300)
@given(before=MANIFESTS, after=MANIFESTS)
def test_what_one_direction_adds_the_other_removes(before, after):
    opposite = {
        Change.ADDED: Change.REMOVED,
        Change.REMOVED: Change.ADDED,
        Change.CHANGED: Change.CHANGED,
    }

    def rows(found):
        return sorted(
            (each.subject, each.name, each.field, each.change, each.before, each.after)
            for each in found
        )

    forth = rows(find_differences(before, after))
    back = [
        (subject, name, field, opposite[change], latter, former)
        for subject, name, field, change, former, latter in rows(
            find_differences(after, before)
        )
    ]
    assert forth == sorted(back)
