"""Tests of bundles over the administration API.

They cover review and roll-out, concurrent changes, lost responses of the table, and
the check of a bundle against the running cell.
"""

import pytest

from cassiaweir.administration import BundleFile
from tests.admin_helpers import FILES, QUEUES, TEAMS, AdminCell

LOWER_LIMIT = [
    BundleFile(name="queues.toml", text=QUEUES),
    BundleFile(name="teams.toml", text=TEAMS.replace("8000, m", "3000, m")),
]
WITHOUT_CUSTOMS = [
    BundleFile(name="queues.toml", text=QUEUES),
    BundleFile(name="teams.toml", text=TEAMS[TEAMS.index('[[team]]\nname = "pub') :]),
]
LIMIT_ABOVE_CELL = [
    BundleFile(name="queues.toml", text=QUEUES),
    BundleFile(name="teams.toml", text=TEAMS.replace("8000, m", "99000000, m")),
]
JOB = {
    "job": "customs.audit",
    "queue": "work",
    "kind": "batch",
    "tasks": 4,
    "size": {"cpu_millis": 1000, "memory_mb": 1024},
}


@pytest.fixture
async def cell():
    async with AdminCell().running() as cell:
        yield cell


async def test_a_bundle_is_drafted_approved_and_rolled_out(cell):
    answer = await cell.roll_out()
    assert (answer.status, answer.body["state"]) == (200, "rolled_out")
    assert answer.body["in_force"]
    assert cell.view.team("customs") is not None
    history = (await cell.call("anna", "GET", "/bundles")).body["bundles"]
    assert [(item["version"], item["approved_by"]) for item in history] == [
        (1, "bruno")
    ]


async def test_authors_cannot_review_their_own_bundle(cell):
    path, digest = await cell.draft()
    await cell.call("anna", "POST", f"{path}/propose", {"digest": digest})
    review = {"digest": digest, "approve": True}
    answer = await cell.call("anna", "POST", f"{path}/review", review)
    assert (answer.status, answer.body["reason"]) == (400, "invalid_input")


async def test_a_roll_out_with_another_digest_than_the_approved_one_is_refused(cell):
    path, _ = await cell.approved()
    change = {"digest": "0" * 64}
    answer = await cell.call("bruno", "POST", f"{path}/rollout", change)
    assert (answer.status, answer.body["verdict"]) == (409, "not_run")
    assert cell.view.bundle_version == 0


async def race(cell, winner, loser):
    """Make the call `winner` just before `loser` commits; return why `loser` failed.

    Each of them is the arguments of `AdminCell.call`.  The refused call must not have
    run.
    """
    answers = []

    async def run():
        answers.append(await cell.call(*winner))

    cell.table.racer = run
    lost = await cell.call(*loser)
    assert answers[0].status in (200, 201), answers[0].raw
    assert lost.status == 409, lost.raw
    assert lost.body["verdict"] == "not_run"
    return lost.body["detail"]


async def test_of_two_concurrent_drafts_the_second_is_refused(cell):
    body = {"files": FILES}
    draft = ("POST", "/bundles", body)
    await race(cell, ("bruno", *draft), ("anna", *draft))
    history = (await cell.call("anna", "GET", "/bundles")).body["bundles"]
    assert [item["author"] for item in history] == ["bruno"]


async def test_of_two_concurrent_proposals_the_second_is_refused(cell):
    path, digest = await cell.draft()
    propose = ("anna", "POST", f"{path}/propose", {"digest": digest})
    assert "anna" in await race(cell, propose, propose)


async def test_of_a_concurrent_rejection_and_approval_the_second_is_refused(cell):
    await cell.add_operator("carla", ["reviewer"])
    path, digest = await cell.draft()
    await cell.call("anna", "POST", f"{path}/propose", {"digest": digest})
    approve = {"digest": digest, "approve": True}
    reject = {"digest": digest, "approve": False}
    detail = await race(
        cell,
        ("carla", "POST", f"{path}/review", reject),
        ("bruno", "POST", f"{path}/review", approve),
    )
    assert "carla" in detail and "rejected" in detail


async def test_of_two_concurrent_rollouts_the_second_is_refused(cell):
    first, digest = await cell.approved()
    second, other = await cell.approved(LOWER_LIMIT)
    detail = await race(
        cell,
        ("anna", "POST", f"{first}/rollout", {"digest": digest}),
        ("bruno", "POST", f"{second}/rollout", {"digest": other}),
    )
    assert "anna has rolled out version 1" in detail
    status = (await cell.call("anna", "GET", "/bundles/status")).body
    assert (status["version"], status["digest"]) == (1, digest)


async def test_a_revert_after_a_concurrent_rollout_is_refused(cell):
    await cell.roll_out()
    await cell.roll_out(LOWER_LIMIT)
    path, digest = await cell.approved()
    detail = await race(
        cell,
        ("anna", "POST", f"{path}/rollout", {"digest": digest}),
        ("bruno", "POST", "/bundles/1/revert", {"head": 2}),
    )
    assert "anna has rolled out version 3" in detail


async def test_a_revert_undoes_only_the_version_named_as_head(cell):
    await cell.roll_out()
    await cell.roll_out(LOWER_LIMIT)
    revert = ("POST", "/bundles/1/revert", {"head": 2})
    detail = await race(cell, ("anna", *revert), ("bruno", *revert))
    assert "anna has rolled out version 3" in detail
    late = await cell.call("bruno", *revert)
    assert (late.status, late.body["reason"]) == (409, "conflict")
    assert "anna has rolled out version 3" in late.body["detail"]


async def test_a_revert_creates_a_new_version_with_the_earlier_content(cell):
    await cell.roll_out()
    await cell.roll_out(LOWER_LIMIT)
    answer = await cell.call("bruno", "POST", "/bundles/1/revert", {"head": 2})
    assert (answer.body["version"], answer.body["reverts_to"]) == (3, 1)
    lines = (await cell.call("anna", "GET", "/bundles/3/diff?against=1")).body
    assert lines == []


@pytest.mark.parametrize("step", ["draft", "propose", "review", "rollout"])
async def test_after_a_lost_response_the_outcome_is_read_back_from_the_table(
    cell, step
):
    path, digest = "", ""
    if step == "propose":
        path, digest = await cell.draft()
    elif step == "review":
        path, digest = await cell.draft()
        await cell.call("anna", "POST", f"{path}/propose", {"digest": digest})
    elif step == "rollout":
        path, digest = await cell.approved()
    calls = {
        "draft": ("anna", "POST", "/bundles", {"files": FILES}),
        "propose": ("anna", "POST", f"{path}/propose", {"digest": digest}),
        "review": (
            "bruno",
            "POST",
            f"{path}/review",
            {"digest": digest, "approve": True},
        ),
        "rollout": ("bruno", "POST", f"{path}/rollout", {"digest": digest}),
    }
    before = cell.table.commits
    cell.table.lose_answers = 1
    answer = await cell.call(*calls[step])
    assert answer.status in (200, 201), answer.raw
    assert cell.table.commits == before + 1


@pytest.mark.parametrize("step", ["propose", "review", "rollout"])
async def test_a_replayed_request_changes_nothing(cell, step):
    path, digest = await cell.draft()
    calls = {
        "propose": ("anna", "POST", f"{path}/propose", {"digest": digest}),
        "review": (
            "bruno",
            "POST",
            f"{path}/review",
            {"digest": digest, "approve": False},
        ),
    }
    if step == "rollout":
        path, digest = await cell.approved()
        call = ("bruno", "POST", f"{path}/rollout", {"digest": digest})
    else:
        call = calls[step]
        if step == "review":
            await cell.call(*calls["propose"])
    assert (await cell.call(*call)).status == 200
    before = cell.table.commits
    replay = await cell.call(*call)
    assert (replay.status, replay.body["reason"]) == (409, "conflict")
    assert cell.table.commits == before


async def submit_job(cell, *, running):
    """Submit a job of the team customs that runs `running` tasks in each shard."""
    await cell.roll_out()
    key = await cell.grant()
    cell.secrets["team"] = key["secret"]
    answer = await cell.call("team", "POST", "", JOB, prefix="/v1/jobs")
    assert answer.status == 201, answer.raw
    cell.schedulers.running = running


@pytest.mark.parametrize(
    ("files", "kind"),
    [
        (LOWER_LIMIT, "limit_below_running"),
        (WITHOUT_CUSTOMS, "team_removed_with_work"),
        (LIMIT_ABOVE_CELL, "exceeds_cell"),
    ],
)
async def test_a_bundle_that_conflicts_with_running_work_needs_confirmation(
    cell, files, kind
):
    await submit_job(cell, running=4)
    report = (await cell.call("anna", "POST", "/bundles/check", {"files": files})).body
    assert [finding["kind"] for finding in report["findings"]] == [kind]
    assert report["findings"][0]["subject"] == "customs"
    refused = await cell.roll_out(files)
    assert (refused.status, refused.body["reason"]) == (409, "confirmation_needed")
    assert (refused.body["verdict"], cell.view.bundle_version) == ("not_run", 1)
    answer = await cell.roll_out(files, confirm=True)
    assert answer.status == 200


async def test_a_lower_limit_above_the_running_tasks_needs_no_confirmation(cell):
    await submit_job(cell, running=1)
    report = (
        await cell.call("anna", "POST", "/bundles/check", {"files": LOWER_LIMIT})
    ).body
    assert report["findings"] == []
    assert len(report["changes"]) == 2


async def test_a_lower_limit_with_unknown_load_needs_confirmation(cell):
    await submit_job(cell, running=1)
    cell.schedulers.down = True
    report = (
        await cell.call("anna", "POST", "/bundles/check", {"files": LOWER_LIMIT})
    ).body
    assert [finding["kind"] for finding in report["findings"]] == ["unknown_load"]


async def test_status_names_processes_that_are_behind_or_do_not_answer(cell):
    await cell.roll_out()
    cell.probe.behind = ["priolo-1"]
    cell.probe.silent = ["milazzo-1"]
    status = (await cell.call("anna", "GET", "/bundles/status")).body
    assert not status["complete"]
    assert (status["behind"], status["silent"]) == (["priolo-1"], ["milazzo-1"])
