"""Tests of the administration API: access, operators, keys, VMs, jobs and overload."""

import asyncio
from datetime import timedelta

import msgspec
import pytest

from cassiaweir.administration._vms import AdministeredVmList
from cassiaweir.api._admin import MAX_CONCURRENT_CALLS
from cassiaweir.clock import ManualClock
from cassiaweir.types import VmState, Write
from cassiaweir.work import DoneRow, done_key, part_key
from tests.admin_helpers import FILES, AdminCell
from tests.test_admin_bundles import JOB, race
from tests.waiting import until

ONE_SECOND = timedelta(seconds=1)

DIGEST = "0" * 64
CHANGES = [
    ("POST", "/operators", {"name": "eve", "roles": ["author"]}),
    ("DELETE", "/operators/bruno", None),
    ("POST", "/keys", {"team": "customs"}),
    ("DELETE", "/keys/00000000", None),
    ("PUT", "/vms/augusta-worker-1/condition", {"condition": "drained"}),
    ("DELETE", "/jobs/customs.audit", None),
    ("POST", "/jobs/cancel", {"team": "customs"}),
    ("POST", "/bundles", {"files": FILES}),
    ("POST", "/bundles/1/propose", {"digest": DIGEST}),
    ("POST", "/bundles/1/review", {"digest": DIGEST, "approve": True}),
    ("POST", "/bundles/1/rollout", {"digest": DIGEST, "confirm": True}),
    ("POST", "/bundles/1/revert", {"head": 1, "confirm": True}),
]
READS = [
    "/operators",
    "/keys",
    "/teams",
    "/queues",
    "/services",
    "/vms",
    "/shards",
    "/processes",
    "/metrics",
    "/audit",
    "/timeline",
    "/status",
    "/jobs",
    "/jobs/customs.audit",
    "/bundles",
    "/bundles/1",
    "/bundles/1/diff",
    "/bundles/1/check",
    "/bundles/status",
]
MALFORMED = [
    ("POST", "/operators", b"{"),
    ("POST", "/operators", {"name": "eve", "roles": []}),
    ("POST", "/operators", {"name": "eve", "roles": ["king"]}),
    ("POST", "/operators", {"name": "Eve!", "roles": ["author"]}),
    ("POST", "/operators", {"name": "eve", "roles": ["author"], "more": 1}),
    ("POST", "/keys", {"team": 7}),
    ("POST", "/keys", b""),
    ("DELETE", "/keys/abc", None),
    ("PUT", "/vms/augusta-worker-1/condition", {"condition": "broken"}),
    ("POST", "/jobs/cancel", {}),
    ("GET", "/jobs?limit=0", None),
    ("GET", "/jobs?limit=x", None),
    ("GET", "/jobs?limit=%C2%B2", None),
    ("GET", "/jobs?limit=1001", None),
    ("GET", "/timeline?since=yesterday", None),
    ("GET", "/timeline?format=pdf", None),
    ("GET", "/bundles/zero", None),
    ("GET", "/bundles/0", None),
    ("GET", "/bundles/1/diff?against=-1", None),
    ("POST", "/bundles", {"files": []}),
    ("POST", "/bundles", {"files": [{"name": "a.toml", "text": "[["}]}),
    ("POST", "/bundles", {"files": [{"name": "../a", "text": ""}]}),
    ("POST", "/bundles", {"files": [FILES[0], FILES[0]]}),
    ("POST", "/bundles/1/propose", {"digest": "short"}),
    ("POST", "/bundles/1/review", {"digest": DIGEST}),
    ("POST", "/bundles/1/rollout", {"confirm": True}),
    ("POST", "/bundles/1/revert", {}),
]


@pytest.fixture
async def cell():
    async with AdminCell().running() as cell:
        await cell.roll_out()
        yield cell


@pytest.fixture
async def job(cell):
    """Submit a job of the team customs and return its name."""
    cell.secrets["team"] = (await cell.grant())["secret"]
    answer = await cell.call("team", "POST", "", JOB, prefix="/v1/jobs")
    assert answer.status == 201, answer.raw
    return JOB["job"]


@pytest.mark.parametrize("path", READS)
async def test_reads_need_a_credential_and_no_role(cell, job, path):
    refused = await cell.call("nobody-knows-me", "GET", path)
    assert (refused.status, refused.body["reason"]) == (401, "operator_unknown")
    await cell.add_operator("carla", ["author"])
    answer = await cell.call("carla", "GET", path)
    assert answer.status == 200, answer.raw
    assert answer.headers["Cache-Control"] == "no-store"


async def test_a_team_key_is_not_accepted_as_operator_credential(cell, job):
    answer = await cell.call("team", "GET", "/jobs")
    assert answer.status == 401


@pytest.mark.parametrize(("method", "path", "body"), CHANGES)
async def test_a_change_without_its_role_is_refused_and_not_run(
    cell, job, method, path, body
):
    await cell.add_operator("carla", ["author"])
    await cell.add_operator("dora", ["on_call", "reviewer"])
    who = "dora" if path in ("/bundles", "/bundles/1/propose") else "carla"
    before = cell.table.commits
    answer = await cell.call(who, method, path, body)
    assert (answer.status, answer.body["reason"]) == (403, "role_missing")
    assert answer.body["verdict"] == "not_run"
    assert cell.table.commits == before


@pytest.mark.parametrize(("method", "path", "body"), MALFORMED)
async def test_malformed_input_is_refused_and_not_run(cell, method, path, body):
    before = cell.table.commits
    answer = await cell.call("anna", method, path, body)
    assert (answer.status, answer.body["reason"]) == (400, "invalid_input")
    assert answer.body["verdict"] == "not_run"
    assert cell.table.commits == before


async def test_calls_beyond_the_limit_are_refused_without_reading_the_table(cell):
    cell.table.hold_reads = asyncio.Event()
    held = [
        asyncio.create_task(cell.call("anna", "GET", "/operators"))
        for _ in range(MAX_CONCURRENT_CALLS)
    ]
    await until(lambda: cell.table.held_reads == MAX_CONCURRENT_CALLS)
    answer = await cell.call("anna", "GET", "/operators")
    assert (answer.status, answer.body["reason"]) == (429, "too_many_calls")
    assert (answer.headers["Retry-After"], answer.body["verdict"]) == ("1", "not_run")
    assert cell.table.held_reads == MAX_CONCURRENT_CALLS
    cell.table.hold_reads.set()
    assert {answer.status for answer in await asyncio.gather(*held)} == {200}
    assert (await cell.call("anna", "GET", "/operators")).status == 200


async def test_with_the_table_down_changes_are_refused_with_retry_after(cell):
    cell.table.down = True
    answer = await cell.call("anna", "POST", "/keys", {"team": "customs"})
    assert (answer.status, answer.body["reason"]) == (503, "unavailable")
    assert (answer.headers["Retry-After"], answer.body["verdict"]) == ("1", "not_run")


async def test_with_the_table_down_cached_operators_can_still_read(cell):
    cell.table.down = True
    assert (await cell.call("anna", "GET", "/status")).status == 503
    cell.table.down = False
    await cell.cell.operator_cache.refresh()
    cell.table.down = True
    for path in ("/status", "/processes", "/shards", "/timeline", "/queues"):
        answer = await cell.call("anna", "GET", path)
        assert answer.status == 200, (path, answer.raw)
    change = {"condition": "drained"}
    path = "/vms/augusta-worker-1/condition"
    assert (await cell.call("anna", "PUT", path, change)).status == 503
    assert (await cell.call("nobody-knows-me", "GET", "/shards")).status == 503


async def test_a_removed_operator_is_refused_while_the_table_answers(cell):
    await cell.cell.operator_cache.refresh()
    await cell.call("anna", "DELETE", "/operators/bruno")
    assert (await cell.call("bruno", "GET", "/shards")).status == 401


async def test_a_change_with_unknown_outcome_may_have_run(cell):
    cell.table.lose_requests = 100
    answer = await cell.call("anna", "POST", "/keys", {"team": "customs"})
    assert (answer.status, answer.body["verdict"]) == (503, "may_have_run")


async def test_key_secrets_are_shown_once_and_keys_withdrawn_by_prefix(cell):
    key = await cell.grant()
    listed = await cell.call("bruno", "GET", "/keys?team=customs")
    assert key["secret"].encode() not in listed.raw
    assert [item["digest"] for item in listed.body["keys"]] == [key["digest"]]
    path = f"/keys/{key['digest'][:8]}"
    for _replay in range(2):
        answer = await cell.call("bruno", "DELETE", path)
        assert (answer.status, answer.body["digest"]) == (200, key["digest"])
    await cell.view.refresh()
    cell.secrets["team"] = key["secret"]
    refused = await cell.call("team", "POST", "", JOB, prefix="/v1/jobs")
    assert refused.body["reason"] == "key_withdrawn"


async def test_no_secret_is_in_events_or_in_the_audit_log(cell):
    key = await cell.grant()
    audit = await cell.call("anna", "GET", "/audit")
    text = audit.raw + str(cell.log.after(0, 1000)).encode()
    for secret in (key["secret"], *cell.secrets.values()):
        assert secret.encode() not in text


async def test_a_key_for_an_unknown_team_is_refused(cell):
    answer = await cell.call("anna", "POST", "/keys", {"team": "pirates"})
    assert answer.status == 404


async def test_of_two_concurrent_withdrawals_the_second_names_the_first(cell):
    key = await cell.grant()
    withdraw = ("DELETE", f"/keys/{key['digest']}")
    assert "bruno" in await race(cell, ("bruno", *withdraw), ("anna", *withdraw))


async def test_two_concurrent_grants_both_take_effect(cell):
    grant = ("POST", "/keys", {"team": "customs"})

    async def run():
        assert (await cell.call("bruno", *grant)).status == 201

    cell.table.racer = run
    assert (await cell.call("anna", *grant)).status == 201
    assert len((await cell.call("anna", "GET", "/keys")).body["keys"]) == 2


async def test_of_two_concurrent_operators_of_one_name_the_second_is_refused(cell):
    add = ("POST", "/operators", {"name": "eve", "roles": ["author"]})
    assert "eve exists" in await race(cell, ("bruno", *add), ("anna", *add))


async def test_of_two_concurrent_removals_of_an_operator_the_second_is_refused(cell):
    await cell.add_operator("eve", ["author"])
    remove = ("DELETE", "/operators/eve")
    await race(cell, ("bruno", *remove), ("anna", *remove))
    assert (await cell.call("eve", "GET", "/operators")).status == 401


async def test_of_a_concurrent_quarantine_and_drain_the_second_is_refused(cell):
    path = "/vms/augusta-worker-1/condition"
    detail = await race(
        cell,
        ("bruno", "PUT", path, {"condition": "quarantined"}),
        ("anna", "PUT", path, {"condition": "drained"}),
    )
    assert "bruno has made it quarantined" in detail


async def test_concurrent_drains_of_two_vms_both_take_effect(cell):
    drain = {"condition": "drained"}

    async def run():
        path = "/vms/priolo-worker-1/condition"
        assert (await cell.call("bruno", "PUT", path, drain)).status == 200

    cell.table.racer = run
    path = "/vms/augusta-worker-1/condition"
    assert (await cell.call("anna", "PUT", path, drain)).status == 200
    vms = (await cell.call("anna", "GET", "/vms")).body["vms"]
    drained = {item["name"]: item["by"] for item in vms if item["by"]}
    assert drained == {"augusta-worker-1": "anna", "priolo-worker-1": "bruno"}


async def test_a_drained_vm_is_listed_for_schedulers_as_leaving(cell):
    clock = ManualClock()
    vms = AdministeredVmList(cell.vms, cell.table, cell.log, clock, max_age=ONE_SECOND)

    async def leaving():
        clock.advance(2)
        return [vm.name for vm in await vms.fetch() if vm.state is VmState.LEAVING]

    path = "/vms/augusta-backend-1/condition"
    assert await leaving() == []
    for _replay in range(2):
        answer = await cell.call("anna", "PUT", path, {"condition": "drained"})
        assert (answer.status, answer.body["condition"]) == (200, "drained")
    assert await leaving() == ["augusta-backend-1"]
    cell.table.down = True
    assert await leaving() == ["augusta-backend-1"]
    cell.table.down = False
    await cell.call("bruno", "PUT", path, {"condition": "open"})
    assert await leaving() == []


async def test_a_vm_that_is_not_listed_cannot_be_drained(cell):
    path = "/vms/nowhere/condition"
    answer = await cell.call("anna", "PUT", path, {"condition": "drained"})
    assert answer.status == 404


async def test_jobs_of_all_teams_are_listed_in_pages(cell, job):
    for name in ("customs.b", "customs.c", "other.d"):
        await cell.call("team", "POST", "", JOB | {"job": name}, prefix="/v1/jobs")
    page = (await cell.call("anna", "GET", "/jobs?prefix=customs&limit=2")).body
    assert [item["job"] for item in page["jobs"]] == ["customs.audit", "customs.b"]
    after = page["after"]
    page = (await cell.call("anna", "GET", f"/jobs?prefix=customs&after={after}")).body
    assert [item["job"] for item in page["jobs"]] == ["customs.c"]
    assert page["after"] == ""
    page = (await cell.call("anna", "GET", "/jobs?team=public")).body
    assert page["jobs"] == []


async def test_a_job_is_shown_with_the_reasons_why_it_waits(cell, job):
    cell.schedulers.queued = 2
    cell.schedulers.reason = "no_room"
    detail = (await cell.call("anna", "GET", f"/jobs/{job}")).body
    assert not detail["finished"]
    assert any("no_room" in reason for reason in detail["waiting"])
    cell.directory.lost = {"augusta-0", "priolo-0"}
    detail = (await cell.call("anna", "GET", f"/jobs/{job}")).body
    assert detail["waiting"]
    assert all("no owner answers" in reason for reason in detail["waiting"])


async def test_a_gang_above_the_limit_of_its_team_is_shown_as_never_starting(cell, job):
    gang = JOB | {"job": "customs.gang", "kind": "gang", "tasks": 9}
    await cell.call("team", "POST", "", gang, prefix="/v1/jobs")
    detail = (await cell.call("anna", "GET", "/jobs/customs.gang")).body
    assert "never starts under the limit of team customs" in detail["waiting"][0]
    detail = (await cell.call("anna", "GET", f"/jobs/{job}")).body
    assert not any("never" in reason for reason in detail["waiting"])


async def test_a_finished_part_is_shown_with_its_outcome(cell, job):
    detail = (await cell.call("anna", "GET", f"/jobs/{job}")).body
    shard = detail["parts"][0]["shard"]
    done = DoneRow(job, "customs", succeeded=3, failed=1, cancelled=False)
    part = Write(part_key(shard, job), None)
    end = Write(done_key(job, shard), msgspec.json.encode(done))
    cell.table.apply([], [part, end])
    detail = (await cell.call("anna", "GET", f"/jobs/{job}")).body
    assert detail["finished"] and detail["waiting"] == []
    (part,) = detail["parts"]
    assert (part["finished"], part["succeeded"], part["failed"]) == (True, 3, 1)


async def test_jobs_are_cancelled_one_by_one_and_by_selector(cell, job):
    for name in ("customs.b", "other.c"):
        await cell.call("team", "POST", "", JOB | {"job": name}, prefix="/v1/jobs")
    for _replay in range(2):
        answer = await cell.call("anna", "DELETE", f"/jobs/{job}")
        assert (answer.status, answer.body["cancelled"]) == (200, True)
    selector = {"team": "customs", "prefix": "customs."}
    found = (await cell.call("anna", "POST", "/jobs/cancel", selector)).body
    assert found == {"cancelled": ["customs.b"], "failed": []}
    actions = (await cell.call("anna", "GET", "/audit?area=jobs")).body["entries"]
    assert {entry["operator"] for entry in actions} == {"anna"}


async def test_the_timeline_is_filtered_by_job_and_time(cell, job):
    cell.log.record("task_started", f"{job}/0")
    cell.log.record("task_started", "other/0")
    report = (await cell.call("anna", "GET", f"/timeline?job={job}")).body
    assert [line.split()[2] for line in report["lines"]] == [
        "job_submitted",
        "task_started",
    ]
    report = (await cell.call("anna", "GET", "/timeline?since=2999-01-01")).body
    assert report["lines"] == []
    trace = await cell.call("anna", "GET", "/timeline?format=trace")
    assert trace.body["traceEvents"]


async def test_the_timeline_is_filtered_by_vm_and_kind_and_includes_causes(cell):
    cause = cell.log.record("slot_granted", "r1")
    name = f"{cause.process}:{cause.sequence}"
    cell.log.record("task_ended", "a/0", vm="augusta-worker-1", cause=name)
    cell.log.record("task_ended", "a/1", vm="augusta-worker-2")
    path = "/timeline?vm=augusta-worker-1&kinds=task_ended,task_started"
    report = (await cell.call("anna", "GET", path)).body
    assert [line.split()[2:4] for line in report["lines"]] == [
        ["slot_granted", "r1"],
        ["task_ended", "a/0"],
    ]


async def test_status_counts_refusals_by_reason(cell):
    await cell.call("nobody-knows-me", "GET", "/status")
    status = (await cell.call("anna", "GET", "/status")).body
    assert status["refusals"] == {"operator_unknown": 1}
    assert [item["shard"] for item in status["shards"]] == ["augusta-0", "priolo-0"]
    cell.table.down = True
    await cell.view.refresh()
    assert (await cell.call("first", "GET", "/status")).body["table_reachable"] is False


async def test_the_audit_log_names_operator_and_action(cell):
    entries = (await cell.call("anna", "GET", "/audit?area=bundle")).body["entries"]
    assert [(entry["operator"], entry["action"]) for entry in entries] == [
        ("anna", "draft"),
        ("anna", "propose"),
        ("bruno", "approve"),
        ("bruno", "roll_out"),
    ]
    only = (await cell.call("anna", "GET", "/audit?operator=bruno&limit=1")).body
    assert [entry["action"] for entry in only["entries"]] == ["roll_out"]
