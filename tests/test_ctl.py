"""Tests of `cassiaweir ctl` against an HTTP server in another thread."""

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
LARGE_MODULES = ("sanic", "grpc", "uvloop", "hdrh", "loguru")
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


class CtlConsole:
    """Runs commands of `cassiaweir ctl` as operators of a cell."""

    def __init__(self, thread, folder):
        self.thread = thread
        self.admin = thread.admin
        self.folder = folder

    def type(self, operator, *words, server=None, secret=None, stdin=None):
        """Run a command with the credential of `operator`, or with `secret`.

        Returns click's result.
        """
        environment = {
            "CASSIAWEIR_CREDENTIAL": secret
            or self.admin.secrets.get(operator, operator)
        }
        return CliRunner().invoke(
            main,
            ["ctl", "--server", server or self.admin.address, *words],
            env=environment,
            input=stdin,
        )

    def run_ok(self, operator, *words):
        """Run a command that must succeed and return its standard output."""
        result = self.type(operator, *words)
        assert result.exit_code == OK, result.output
        return result.stdout

    def write_bundle(self, files):
        """Write the files of a bundle and return their folder."""
        folder = self.folder / "bundle"
        folder.mkdir(exist_ok=True)
        for file in files:
            (folder / file.name).write_text(file.text)
        return str(folder)

    def draft_and_propose(self, files=FILES):
        """Draft and propose a bundle; return its version and digest as text."""
        words = ("bundle", "draft", self.write_bundle(files), "--json")
        found = msgspec.json.decode(self.run_ok("anna", *words))
        version_and_digest = (str(found["version"]), found["digest"])
        self.run_ok("anna", "bundle", "propose", *version_and_digest)
        return version_and_digest

    def roll_out(self, files=FILES):
        """Put a bundle in force; return its version and digest as text."""
        version_and_digest = self.draft_and_propose(files)
        self.run_ok("bruno", "bundle", "approve", *version_and_digest)
        self.run_ok("bruno", "bundle", "rollout", *version_and_digest)
        self.thread.run(self.admin.view.refresh())
        return version_and_digest


@pytest.fixture
def console(tmp_path):
    with CellThread() as thread:
        yield CtlConsole(thread, tmp_path)


def assert_one_line(result, code):
    """Check the exit code and that the error is one line; return the line."""
    assert result.exit_code == code, result.output
    lines = result.stderr.strip().splitlines()
    assert len(lines) == 1, result.stderr
    assert lines[0].startswith("cassiaweir ctl: ")
    return lines[0]


def test_commands_roll_out_a_bundle_and_grant_a_key(console):
    version, _ = console.roll_out()
    assert version == "1"
    assert "in force" in console.run_ok("anna", "bundle", "history")
    secret = console.run_ok("anna", "key", "grant", "customs").strip()
    assert hashlib.sha256(secret.encode()).hexdigest()[:12] in console.run_ok(
        "bruno", "key", "list"
    )


@pytest.mark.parametrize("words", LISTS)
def test_lists_are_printed_as_table_and_as_json(console, words):
    console.roll_out()
    table = console.run_ok("anna", *words)
    msgspec.json.decode(console.run_ok("anna", *words, "--json"))
    assert table.strip()


def test_only_the_secret_goes_to_standard_output(console):
    console.roll_out()
    result = console.type("anna", "key", "grant", "customs")
    assert len(result.stdout.split()) == 1
    assert result.stdout.strip() not in result.stderr


def test_a_conflict_exits_with_3_and_names_the_other_operator(console):
    console.roll_out()
    first, second = console.draft_and_propose(), console.draft_and_propose(LOWER_LIMIT)
    for version_and_digest in (first, second):
        console.run_ok("bruno", "bundle", "approve", *version_and_digest)
    console.run_ok("anna", "bundle", "rollout", *first)
    line = assert_one_line(
        console.type("bruno", "bundle", "rollout", *second), CONFLICT
    )
    assert "anna has rolled out version 2" in line


def test_a_revert_is_a_new_version_with_the_earlier_content(console):
    _, digest = console.roll_out()
    console.roll_out(LOWER_LIMIT)
    output = console.run_ok("bruno", "bundle", "revert-to", "1", "--from", "2")
    assert f"version 3 digest {digest} is rolled_out" in output
    assert "reverts to 1" in console.run_ok("anna", "bundle", "history")
    words = ("bundle", "revert-to", "1", "--from", "2")
    line = assert_one_line(console.type("anna", *words), CONFLICT)
    assert "bruno has rolled out version 3" in line
    assert (
        console.run_ok("anna", "bundle", "diff", "3", "--against", "1") == "no change\n"
    )
    assert "team customs" in console.run_ok("anna", "bundle", "diff", "2")


def test_a_bundle_is_rejected(console):
    version_and_digest = console.draft_and_propose()
    words = ("--reject", "--comment", "too low")
    assert "rejected" in console.run_ok(
        "bruno", "bundle", "approve", *version_and_digest, *words
    )
    assert_one_line(
        console.type("anna", "bundle", "rollout", *version_and_digest), CONFLICT
    )


def test_operators_are_added_and_removed(console):
    secret = console.run_ok(
        "anna", "operator", "add", "eve", "--role", "author"
    ).strip()
    assert console.type("x", "operator", "list", secret=secret).exit_code == OK
    assert "eve" not in console.run_ok("anna", "operator", "remove", "eve")
    assert_one_line(console.type("x", "operator", "list", secret=secret), FAILED)


def test_withdraw_with_wait_names_the_process_that_does_not_answer(console):
    console.roll_out()
    secret = console.run_ok("anna", "key", "grant", "customs").strip()
    digest = hashlib.sha256(secret.encode()).hexdigest()
    console.thread.run(console.admin.view.refresh())
    console.run_ok("anna", "key", "grant", "customs")
    console.admin.probe.silent = ["milazzo-1"]
    console.thread.run(console.admin.view.refresh())
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("cassiaweir.ctl._keys.MAX_WAIT_SECONDS", 0)
        result = console.type("bruno", "key", "withdraw", digest[:8], "--wait")
    assert f"withdrawn {digest}" in result.stdout
    assert "milazzo-1" in assert_one_line(result, UNAVAILABLE)


def test_a_missing_role_exits_with_1(console):
    console.thread.run(console.admin.add_operator("carla", ["author"]))
    line = assert_one_line(console.type("carla", "key", "grant", "customs"), FAILED)
    assert "role_missing" in line


def test_a_refused_credential_is_not_printed(console):
    result = console.type("x", "status", secret="a-secret-that-leaked")
    assert "a-secret-that-leaked" not in result.output
    assert_one_line(result, FAILED)


def test_a_missing_credential_exits_with_2(console):
    result = console.type("x", "status", secret=" ")
    assert "--credential-file" in assert_one_line(result, USAGE)


def test_the_credential_is_read_from_a_file(console):
    path = console.folder / "anna.credential"
    path.write_text(console.admin.secrets["anna"] + "\n")
    words = ["--credential-file", str(path)]
    result = CliRunner().invoke(
        main, ["ctl", "--server", console.admin.address, *words, "operator", "list"]
    )
    assert result.exit_code == OK
    missing = console.folder / "none"
    result = CliRunner().invoke(
        main, ["ctl", "--credential-file", str(missing), "operator", "list"]
    )
    assert_one_line(result, USAGE)


def test_an_unreachable_server_exits_with_4(console):
    result = console.type("anna", "status", server="127.0.0.1:1")
    assert_one_line(result, UNAVAILABLE)


def test_an_unavailable_table_exits_with_4_and_says_when_to_retry(console):
    console.admin.table.down = True
    line = assert_one_line(console.type("anna", "key", "list"), UNAVAILABLE)
    assert "retry after 1 s" in line


def test_a_change_without_a_known_outcome_warns_it_may_have_been_applied(console):
    console.roll_out()
    console.admin.table.lose_requests = 100
    line = assert_one_line(console.type("anna", "key", "grant", "customs"), UNAVAILABLE)
    assert "may have been applied" in line


def test_a_wrong_command_line_exits_with_2(console):
    assert console.type("anna", "job", "cancel").exit_code == USAGE
    assert console.type("anna", "bundle", "rollout", "x").exit_code == USAGE
    assert console.type("anna", "nothing").exit_code == USAGE
    assert_one_line(console.type("anna", "bundle", "draft", "/nowhere"), USAGE)


def test_check_exits_with_1_if_confirmation_is_needed(console):
    console.roll_out()
    secret = console.run_ok("anna", "key", "grant", "customs").strip()
    console.thread.run(console.admin.view.refresh())
    path = console.folder / "job.json"
    path.write_bytes(msgspec.json.encode(JOB))
    submitted = console.type("x", "job", "submit", str(path), secret=secret)
    assert submitted.exit_code == OK, submitted.output
    console.admin.schedulers.running = 4
    result = console.type("anna", "bundle", "check", console.write_bundle(LOWER_LIMIT))
    assert "limit_below_running" in result.stdout
    assert result.exit_code == FAILED
    version_and_digest = console.draft_and_propose(LOWER_LIMIT)
    console.run_ok("bruno", "bundle", "approve", *version_and_digest)
    line = assert_one_line(
        console.type("bruno", "bundle", "rollout", *version_and_digest), FAILED
    )
    assert "confirmation_needed" in line
    console.run_ok("bruno", "bundle", "rollout", *version_and_digest, "--confirm")


def test_bundle_status_with_wait_names_the_processes_that_do_not_answer(console):
    console.roll_out()
    assert "version 1" in console.run_ok("anna", "bundle", "status", "--wait")
    console.admin.probe.silent = ["milazzo-1"]
    result = console.type("anna", "bundle", "status", "--wait", "--timeout", "0.3")
    assert result.stderr.startswith("waiting for milazzo-1\n")
    assert result.exit_code == UNAVAILABLE
    result = console.type("anna", "bundle", "status", "--wait", "--timeout", "0")
    assert "milazzo-1" in assert_one_line(result, UNAVAILABLE)


def test_a_job_is_shown_explained_and_cancelled(console):
    console.roll_out()
    secret = console.run_ok("anna", "key", "grant", "customs").strip()
    console.thread.run(console.admin.view.refresh())
    path = console.folder / "job.toml"
    path.write_text(
        'job = "customs.audit"\nqueue = "work"\nkind = "batch"\ntasks = 4\n'
        "size = { cpu_millis = 1000, memory_mb = 1024 }\n"
    )
    console.type("x", "job", "submit", str(path), secret=secret)
    console.admin.schedulers.queued = 4
    console.admin.schedulers.reason = "no_room"
    assert "no_room" in console.run_ok("anna", "explain", "customs.audit")
    assert "customs.audit" in console.run_ok(
        "anna", "timeline", "--job", "customs.audit"
    )
    assert "cancelled customs.audit" in console.run_ok(
        "anna", "job", "cancel", "--team", "customs"
    )
    assert_one_line(console.type("anna", "job", "show", "nothing"), FAILED)


def test_reserved_characters_in_a_job_name_are_quoted(console):
    assert_one_line(console.type("anna", "job", "show", "../operators?x=1"), FAILED)


def test_a_vm_is_drained_and_opened_again(console):
    assert "drained" in console.run_ok("anna", "vm", "drain", "augusta-worker-1")
    assert "augusta-worker-1" in console.run_ok("anna", "vm", "list", "--closed")
    assert "open" in console.run_ok("bruno", "vm", "undrain", "augusta-worker-1")
    line = assert_one_line(console.type("anna", "vm", "drain", "nowhere"), FAILED)
    assert "not in the platform's list" in line


def test_operator_digest_reads_the_secret_from_standard_input(console):
    secret = "a-secret-that-is-long-enough"
    result = console.type("x", "operator", "digest", stdin=f"{secret}\n")
    digest = hashlib.sha256(secret.encode()).hexdigest()
    assert (result.exit_code, result.stdout.strip()) == (OK, digest)
    assert_one_line(console.type("x", "operator", "digest", stdin="short\n"), USAGE)


def test_timeline_writes_a_trace_file(console):
    console.roll_out()
    path = console.folder / "trace.json"
    console.run_ok("anna", "timeline", "--trace", str(path))
    assert msgspec.json.decode(path.read_bytes())["traceEvents"]


def test_watch_repeats_until_interrupted(console, monkeypatch):
    sleeps = []

    def interrupt(seconds):
        sleeps.append(seconds)
        if len(sleeps) == 2:
            raise KeyboardInterrupt

    monkeypatch.setattr("cassiaweir.ctl._context.time.sleep", interrupt)
    result = console.type("anna", "shard", "list", "--watch")
    assert result.stdout.count("OWNER") == 2
    assert "Traceback" not in result.output


def test_the_command_line_imports_no_large_modules():
    code = (
        "import sys, cassiaweir.cmdline, cassiaweir.ctl\n"
        f"print([name for name in {LARGE_MODULES!r} if name in sys.modules])"
    )
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert output.stdout.strip() == "[]"
