"""Tests of `cassiaweir ctl` against a front in another thread."""

import hashlib
import subprocess
import sys

import msgspec
import pytest
from click.testing import CliRunner

from cassiaweir.cmdline import main
from tests.admin_helpers import FILES, CellThread
from tests.test_admin_bundles import JOB, LOWER_LIMIT

OK, FAILED, USAGE, CONFLICT, UNAVAILABLE = range(5)
HEAVY = ("sanic", "grpc", "uvloop", "hdrh", "loguru")
LISTS = [
    ("audit", "list"),
    ("bundle", "history"),
    ("bundle", "status"),
    ("job", "list"),
    ("key", "list"),
    ("operator", "list"),
    ("process", "list"),
    ("queue", "list"),
    ("service", "list"),
    ("shard", "list"),
    ("status",),
    ("team", "list"),
    ("timeline",),
    ("vm", "list"),
]


class Desk:
    """Types commands as one of the operators of a cell."""

    def __init__(self, thread, folder):
        self.thread = thread
        self.admin = thread.admin
        self.folder = folder

    def type(self, who, *words, server=None, secret=None, stdin=None):
        """Run one command and return click's result."""
        environment = {
            "CASSIAWEIR_CREDENTIAL": secret or self.admin.secrets.get(who, who)
        }
        return CliRunner().invoke(
            main,
            ["ctl", "--server", server or self.admin.address, *words],
            env=environment,
            input=stdin,
        )

    def done(self, who, *words):
        """Run a command that has to succeed and return its output."""
        result = self.type(who, *words)
        assert result.exit_code == OK, result.output
        return result.stdout

    def write(self, files):
        """Write a bundle's files and return their folder."""
        folder = self.folder / "bundle"
        folder.mkdir(exist_ok=True)
        for file in files:
            (folder / file.name).write_text(file.text)
        return str(folder)

    def draft(self, files=FILES):
        """Draft and propose a bundle; return its version and digest."""
        words = ("bundle", "draft", self.write(files), "--json")
        found = msgspec.json.decode(self.done("anna", *words))
        named = (str(found["version"]), found["digest"])
        self.done("anna", "bundle", "propose", *named)
        return named

    def roll_out(self, files=FILES):
        """Bring a bundle in force."""
        named = self.draft(files)
        self.done("bruno", "bundle", "approve", *named)
        self.done("bruno", "bundle", "rollout", *named)
        self.thread.run(self.admin.view.refresh())
        return named


@pytest.fixture
def desk(tmp_path):
    with CellThread() as thread:
        yield Desk(thread, tmp_path)


def assert_one_line(result, code):
    """Check the exit code, and that the error is one line without a trace."""
    assert result.exit_code == code, result.output
    lines = result.stderr.strip().splitlines()
    assert len(lines) == 1, result.stderr
    assert lines[0].startswith("cassiaweir ctl: ")
    return lines[0]


def test_a_cell_is_set_up_by_commands(desk):
    version, _ = desk.roll_out()
    assert version == "1"
    assert "in force" in desk.done("anna", "bundle", "history")
    secret = desk.done("anna", "key", "grant", "customs").strip()
    assert hashlib.sha256(secret.encode()).hexdigest()[:12] in desk.done(
        "bruno", "key", "list"
    )


@pytest.mark.parametrize("words", LISTS)
def test_lists_are_tables_and_json(desk, words):
    desk.roll_out()
    table = desk.done("anna", *words)
    msgspec.json.decode(desk.done("anna", *words, "--json"))
    assert table.strip()


def test_only_the_secret_goes_to_standard_output(desk):
    desk.roll_out()
    result = desk.type("anna", "key", "grant", "customs")
    assert len(result.stdout.split()) == 1
    assert result.stdout.strip() not in result.stderr


def test_a_lost_race_exits_with_3_and_names_the_winner(desk):
    desk.roll_out()
    first, second = desk.draft(), desk.draft(LOWER_LIMIT)
    for named in (first, second):
        desk.done("bruno", "bundle", "approve", *named)
    desk.done("anna", "bundle", "rollout", *first)
    line = assert_one_line(desk.type("bruno", "bundle", "rollout", *second), CONFLICT)
    assert "anna has rolled out version 2" in line


def test_a_revert_is_a_new_version_with_the_earlier_content(desk):
    _, digest = desk.roll_out()
    desk.roll_out(LOWER_LIMIT)
    output = desk.done("bruno", "bundle", "revert-to", "1", "--from", "2")
    assert f"version 3 digest {digest} is rolled_out" in output
    assert "reverts to 1" in desk.done("anna", "bundle", "history")
    words = ("bundle", "revert-to", "1", "--from", "2")
    line = assert_one_line(desk.type("anna", *words), CONFLICT)
    assert "bruno has rolled out version 3" in line
    assert desk.done("anna", "bundle", "diff", "3", "--against", "1") == "no change\n"
    assert "team customs" in desk.done("anna", "bundle", "diff", "2")


def test_a_bundle_is_rejected(desk):
    named = desk.draft()
    words = ("--reject", "--comment", "too low")
    assert "rejected" in desk.done("bruno", "bundle", "approve", *named, *words)
    assert_one_line(desk.type("anna", "bundle", "rollout", *named), CONFLICT)


def test_operators_are_added_and_removed(desk):
    secret = desk.done("anna", "operator", "add", "eve", "--role", "author").strip()
    assert desk.type("x", "operator", "list", secret=secret).exit_code == OK
    assert "eve" not in desk.done("anna", "operator", "remove", "eve")
    assert_one_line(desk.type("x", "operator", "list", secret=secret), FAILED)


def test_a_key_is_withdrawn_and_awaited(desk):
    desk.roll_out()
    secret = desk.done("anna", "key", "grant", "customs").strip()
    digest = hashlib.sha256(secret.encode()).hexdigest()
    desk.thread.run(desk.admin.view.refresh())
    desk.done("anna", "key", "grant", "customs")
    desk.admin.probe.silent = ["milazzo-1"]
    desk.thread.run(desk.admin.view.refresh())
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("cassiaweir.ctl._keys.LONGEST_WAIT_SECONDS", 0)
        result = desk.type("bruno", "key", "withdraw", digest[:8], "--wait")
    assert f"withdrawn {digest}" in result.stdout
    assert "milazzo-1" in assert_one_line(result, UNAVAILABLE)


def test_a_missing_role_exits_with_1(desk):
    desk.thread.run(desk.admin.add_operator("carla", ["author"]))
    line = assert_one_line(desk.type("carla", "key", "grant", "customs"), FAILED)
    assert "role_missing" in line


def test_an_unknown_credential_is_not_shown(desk):
    result = desk.type("x", "status", secret="a-secret-that-leaked")
    assert "a-secret-that-leaked" not in result.output
    assert_one_line(result, FAILED)


def test_a_missing_credential_exits_with_2(desk):
    result = desk.type("x", "status", secret=" ")
    assert "--credential-file" in assert_one_line(result, USAGE)


def test_a_credential_comes_from_a_file(desk):
    path = desk.folder / "anna.credential"
    path.write_text(desk.admin.secrets["anna"] + "\n")
    words = ["--credential-file", str(path)]
    result = CliRunner().invoke(
        main, ["ctl", "--server", desk.admin.address, *words, "operator", "list"]
    )
    assert result.exit_code == OK
    missing = desk.folder / "none"
    result = CliRunner().invoke(
        main, ["ctl", "--credential-file", str(missing), "operator", "list"]
    )
    assert_one_line(result, USAGE)


def test_a_server_that_is_away_exits_with_4(desk):
    result = desk.type("anna", "status", server="127.0.0.1:1")
    assert_one_line(result, UNAVAILABLE)


def test_a_table_that_is_down_exits_with_4_and_says_when_to_come_back(desk):
    desk.admin.table.down = True
    line = assert_one_line(desk.type("anna", "key", "list"), UNAVAILABLE)
    assert "come back in 1 s" in line


def test_a_change_in_doubt_says_to_look_first(desk):
    desk.roll_out()
    desk.admin.table.lose_requests = 100
    line = assert_one_line(desk.type("anna", "key", "grant", "customs"), UNAVAILABLE)
    assert "may have been made" in line


def test_a_wrong_command_line_exits_with_2(desk):
    assert desk.type("anna", "job", "cancel").exit_code == USAGE
    assert desk.type("anna", "bundle", "rollout", "x").exit_code == USAGE
    assert desk.type("anna", "nothing").exit_code == USAGE
    assert_one_line(desk.type("anna", "bundle", "draft", "/nowhere"), USAGE)


def test_check_exits_with_1_where_confirmation_is_needed(desk):
    desk.roll_out()
    secret = desk.done("anna", "key", "grant", "customs").strip()
    desk.thread.run(desk.admin.view.refresh())
    path = desk.folder / "job.json"
    path.write_bytes(msgspec.json.encode(JOB))
    submitted = desk.type("x", "job", "submit", str(path), secret=secret)
    assert submitted.exit_code == OK, submitted.output
    desk.admin.schedulers.running = 4
    result = desk.type("anna", "bundle", "check", desk.write(LOWER_LIMIT))
    assert "limit_below_running" in result.stdout
    assert result.exit_code == FAILED
    named = desk.draft(LOWER_LIMIT)
    desk.done("bruno", "bundle", "approve", *named)
    line = assert_one_line(desk.type("bruno", "bundle", "rollout", *named), FAILED)
    assert "confirmation_needed" in line
    desk.done("bruno", "bundle", "rollout", *named, "--confirm")


def test_waiting_names_the_processes_that_do_not_answer(desk):
    desk.roll_out()
    assert "version 1" in desk.done("anna", "bundle", "status", "--wait")
    desk.admin.probe.silent = ["milazzo-1"]
    result = desk.type("anna", "bundle", "status", "--wait", "--timeout", "0.3")
    assert result.stderr.startswith("waiting for milazzo-1\n")
    assert result.exit_code == UNAVAILABLE
    result = desk.type("anna", "bundle", "status", "--wait", "--timeout", "0")
    assert "milazzo-1" in assert_one_line(result, UNAVAILABLE)


def test_a_job_is_shown_explained_and_cancelled(desk):
    desk.roll_out()
    secret = desk.done("anna", "key", "grant", "customs").strip()
    desk.thread.run(desk.admin.view.refresh())
    path = desk.folder / "job.toml"
    path.write_text(
        'job = "customs.audit"\nqueue = "work"\nkind = "batch"\ntasks = 4\n'
        "size = { cpu_millis = 1000, memory_mb = 1024 }\n"
    )
    desk.type("x", "job", "submit", str(path), secret=secret)
    desk.admin.schedulers.queued = 4
    desk.admin.schedulers.reason = "no_room"
    assert "no_room" in desk.done("anna", "explain", "customs.audit")
    assert "customs.audit" in desk.done("anna", "timeline", "--job", "customs.audit")
    assert "cancelled customs.audit" in desk.done(
        "anna", "job", "cancel", "--team", "customs"
    )
    assert_one_line(desk.type("anna", "job", "show", "nothing"), FAILED)


def test_a_name_with_reserved_characters_stays_one_name(desk):
    assert_one_line(desk.type("anna", "job", "show", "../operators?x=1"), FAILED)


def test_a_vm_is_drained_and_opened(desk):
    assert "drained" in desk.done("anna", "vm", "drain", "augusta-worker-1")
    assert "augusta-worker-1" in desk.done("anna", "vm", "list", "--closed")
    assert "open" in desk.done("bruno", "vm", "undrain", "augusta-worker-1")
    line = assert_one_line(desk.type("anna", "vm", "drain", "nowhere"), FAILED)
    assert "not in the platform's list" in line


def test_the_digest_of_the_first_operator_is_made_from_standard_input(desk):
    secret = "a-secret-that-is-long-enough"
    result = desk.type("x", "operator", "digest", stdin=f"{secret}\n")
    digest = hashlib.sha256(secret.encode()).hexdigest()
    assert (result.exit_code, result.stdout.strip()) == (OK, digest)
    assert_one_line(desk.type("x", "operator", "digest", stdin="short\n"), USAGE)


def test_a_trace_file_is_written(desk):
    desk.roll_out()
    path = desk.folder / "trace.json"
    desk.done("anna", "timeline", "--trace", str(path))
    assert msgspec.json.decode(path.read_bytes())["traceEvents"]


def test_watching_repeats_until_interrupted(desk, monkeypatch):
    looks = []

    def interrupt(seconds):
        looks.append(seconds)
        if len(looks) == 2:
            raise KeyboardInterrupt

    monkeypatch.setattr("cassiaweir.ctl._context.time.sleep", interrupt)
    result = desk.type("anna", "shard", "list", "--watch")
    assert result.stdout.count("OWNER") == 2
    assert "Traceback" not in result.output


def test_the_command_line_imports_nothing_heavy():
    code = (
        "import sys, cassiaweir.cmdline, cassiaweir.ctl\n"
        f"print([name for name in {HEAVY!r} if name in sys.modules])"
    )
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert output.stdout.strip() == "[]"
