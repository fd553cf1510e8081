"""Tests of the parsing and validation of bundles."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaweir.configuration import Bundle, parse_bundle, read_bundle
from cassiaweir.exceptions import InvalidInputError

TEAM = '[[team]]\nname = "dogana"\nshare = 2\nlimit = {cpu_millis = 1, memory_mb = 1}\n'


def queue(text: str) -> str:
    return TEAM + "[[queue]]\n" + text


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[[team]\n", "is not TOML"),
        ("teams = []\n", ".*unknown field `teams`"),
        ("team = 3\n", r"team: Expected `array`"),
        (TEAM.replace("2", "0"), r"team\[0\]\.share: Expected `int` >= 1"),
        (TEAM.replace("2", "nan"), r"team\[0\]\.share: Expected `int`"),
        (TEAM.replace("= 2", "= 99999999"), r"team\[0\]\.share: .*<= 1000000"),
        (TEAM.replace("dogana", "Dog ana"), r"team\[0\]\.name: .*regex"),
        (TEAM.replace("share = 2\n", ""), r"team\[0\]: .*missing.*`share`"),
        (
            TEAM.replace("cpu_millis = 1", "cpu_millis = -1"),
            r"team\[0\]\.limit\.cpu_millis: Expected `int` >= 0",
        ),
        (TEAM + TEAM, "team.dogana: is defined twice"),
        (queue('name = "a"\nopen = true\n'), "queue.a.team: an open queue must name"),
        (queue('name = "a"\nteam = "dogana"\n'), "queue.a.team: a keyed queue"),
        (
            queue('name = "a"\nopen = true\nteam = "x"\n'),
            "queue.a.team: there is no team x",
        ),
        (
            TEAM + '[[service]]\nname = "stock"\nqueue = "q"\n',
            "service.stock.queue: there is no queue q",
        ),
    ],
)
def test_a_malformed_bundle_is_refused_with_file_key_and_reason(text, message):
    with pytest.raises(InvalidInputError, match=r"teams\.toml: " + message):
        parse_bundle({"teams.toml": text})


def test_an_error_names_the_invalid_file():
    with pytest.raises(InvalidInputError, match=r"^queues\.toml: queue"):
        parse_bundle({"teams.toml": TEAM, "queues.toml": "queue = 1\n"})


def test_the_files_of_a_directory_form_one_bundle(tmp_path):
    (tmp_path / "teams.toml").write_text(TEAM)
    (tmp_path / "queues.toml").write_text('[[queue]]\nname = "audits"\n')
    bundle = read_bundle(tmp_path)
    assert [team.name for team in bundle.team] == ["dogana"]
    assert [entry.name for entry in bundle.queue] == ["audits"]


def test_unreadable_directories_and_files_are_refused(tmp_path):
    with pytest.raises(InvalidInputError, match="holds no"):
        read_bundle(tmp_path)
    (tmp_path / "teams.toml").write_bytes(b"\xff\xfe")
    with pytest.raises(InvalidInputError, match=r"teams\.toml.*UTF-8"):
        read_bundle(tmp_path)


def test_the_digest_depends_on_the_content_but_not_on_its_order():
    other = TEAM.replace("dogana", "porto")
    one = parse_bundle({"a.toml": TEAM, "b.toml": other})
    two = parse_bundle({"a.toml": other, "b.toml": TEAM})
    changed = parse_bundle({"a.toml": TEAM, "b.toml": other.replace("2", "3")})
    assert one.digest() == two.digest() != changed.digest()
    assert Bundle.decode(one.encode()).digest() == one.digest()


@settings(derandomize=True)
@given(st.text())
def test_any_text_is_parsed_or_refused(text):
    try:
        parse_bundle({"any.toml": text})
    except InvalidInputError as exc:
        assert str(exc).startswith("any.toml: ")


@settings(derandomize=True)
@given(st.binary())
def test_any_bytes_are_decoded_or_refused(body):
    try:
        Bundle.decode(body)
    except InvalidInputError as exc:
        assert str(exc).startswith("bundle: ")
