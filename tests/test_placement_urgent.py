"""Tests of preemption for urgent work."""

from cassiaweir.placement import VmCondition, WaitReason
from cassiaweir.types import JobKind, Resources, TaskState, Urgency
from tests.placement_helpers import (
    CORE,
    PLENTY,
    VM_SIZE,
    end,
    group,
    offer,
    placed,
    planner_with,
)


def urgent(job: str, team: str = "b", **changes):
    return group(job, team, urgency=Urgency.URGENT, **changes)


def full_planner(now: float = 0.0, **changes):
    """Return a planner whose only VM is full with four tasks of team a.

    They start one second apart, so that the last one has the least lost work.
    """
    planner = planner_with(vms=1)
    for index in range(4):
        planner.enqueue(group(f"n{index}", **changes))
        planner.plan(now + index, 1)
    return planner


def preempted(plan) -> list[str]:
    return [str(preemption.task) for preemption in plan.preemptions]


def test_urgent_work_preempts_the_task_with_the_least_lost_work():
    planner = full_planner()
    planner.enqueue(urgent("u"))
    plan = planner.plan(10, 9)
    assert preempted(plan) == ["n3/0"]
    assert not plan.placements
    planner.enqueue(group("later", submitted_at=10.0))
    end(planner, "n3/0", 11, TaskState.CHECKPOINTED)
    assert placed(planner.plan(11, 9)) == ["u/0"]


def test_a_claim_is_not_made_twice():
    planner = full_planner()
    planner.enqueue(urgent("u"))
    assert preempted(planner.plan(10, 9)) == ["n3/0"]
    assert not preempted(planner.plan(10.5, 9))


def test_no_task_is_preempted_if_that_would_not_make_room():
    planner = planner_with(vms=1)
    planner.enqueue(group("s", tasks=3, kind=JobKind.SERVICE, declared_seconds=0))
    planner.enqueue(group("n"))
    planner.plan(0, 9)
    planner.enqueue(urgent("u", size=CORE * 2))
    assert not preempted(planner.plan(1, 9))
    assert planner.wait_reason("u", 1) is WaitReason.NO_ROOM


def test_services_gangs_and_urgent_tasks_are_never_preempted():
    planner = planner_with(vms=1)
    planner.enqueue(group("s", kind=JobKind.SERVICE, declared_seconds=0))
    planner.enqueue(group("g", tasks=2, kind=JobKind.GANG))
    planner.enqueue(urgent("first"))
    planner.plan(0, 9)
    planner.enqueue(urgent("second"))
    assert not preempted(planner.plan(1, 9))


def test_an_urgent_gang_claims_room_for_all_its_tasks():
    planner = full_planner()
    planner.enqueue(urgent("u", tasks=2, kind=JobKind.GANG))
    assert sorted(preempted(planner.plan(10, 9))) == ["n2/0", "n3/0"]
    end(planner, "n3/0", 11, TaskState.CHECKPOINTED)
    assert not planner.plan(11, 9).placements
    end(planner, "n2/0", 12, TaskState.CHECKPOINTED)
    assert placed(planner.plan(12, 9)) == ["u/0", "u/1"]


def test_urgent_work_of_a_team_at_its_allotment_preempts_its_own_batch_tasks():
    planner = planner_with(vms=2)
    planner.set_team("a", 1, CORE * 4)
    planner.enqueue(group("n", tasks=4))
    planner.plan(0, 9)
    planner.enqueue(urgent("u", "a"))
    victims = preempted(planner.plan(1, 9))
    assert len(victims) == 1
    assert victims[0].startswith("n/")
    end(planner, victims[0], 2, TaskState.CHECKPOINTED)
    assert placed(planner.plan(2, 9)) == ["u/0"]
    assert planner.allocated("a") == CORE * 4
    assert not planner.excess_tasks("a")


def test_a_claimed_task_waits_if_the_allotment_was_lowered_meanwhile():
    planner = full_planner()
    planner.enqueue(urgent("u"))
    planner.plan(10, 9)
    planner.set_team("b", 1, Resources())
    end(planner, "n3/0", 11, TaskState.CHECKPOINTED)
    assert not planner.plan(11, 9).placements
    assert planner.wait_reason("u", 11) is WaitReason.TEAM_LIMIT
    planner.set_team("b", 1, PLENTY)
    assert placed(planner.plan(12, 9)) == ["u/0"]


def test_a_cancelled_claim_frees_its_room_for_others():
    planner = full_planner()
    planner.enqueue(urgent("u"))
    planner.plan(10, 9)
    assert not planner.cancel("u")
    end(planner, "n3/0", 11, TaskState.CHECKPOINTED)
    planner.enqueue(group("n3", submitted_at=11.0))
    assert placed(planner.plan(11, 9)) == ["n3/0"]
    assert planner.demand("b") == Resources()


def test_a_claim_on_a_vm_that_closes_goes_back_to_the_queue():
    planner = full_planner()
    planner.enqueue(urgent("u"))
    planner.plan(10, 9)
    planner.set_vm(offer(0), VmCondition.DRAINING)
    planner.set_vm(offer(1), VmCondition.OPEN)
    end(planner, "n3/0", 11, TaskState.CHECKPOINTED)
    placements = planner.plan(11, 9).placements
    assert [(str(p.task), p.vm) for p in placements] == [("u/0", "vm1")]


def test_a_claim_expires_if_its_victim_does_not_end():
    planner = full_planner()
    planner.enqueue(urgent("u"))
    planner.plan(10, 9)
    end(planner, "n0/0", 20)
    assert not planner.plan(20, 9).placements
    assert placed(planner.plan(41, 9)) == ["u/0"]


def test_a_task_is_preempted_at_most_three_times():
    planner = planner_with(vms=1)
    whole = group("n", size=VM_SIZE)
    times = 0
    for number in range(10):
        now = 100.0 * number
        planner.enqueue(whole)
        assert placed(planner.plan(now, 9)) == ["n/0"]
        planner.enqueue(urgent(f"u{number}"))
        if not preempted(planner.plan(now + 1, 9)):
            break
        times += 1
        end(planner, "n/0", now + 2, TaskState.CHECKPOINTED)
        assert placed(planner.plan(now + 2, 9)) == [f"u{number}/0"]
        end(planner, f"u{number}/0", now + 3)
    assert times == 3


def test_within_a_window_a_team_loses_at_most_as_many_tasks_as_it_runs():
    planner = planner_with(vms=10)
    normal = group("n", tasks=40)
    planner.enqueue(normal)
    planner.plan(0, 99)
    lost = 0
    for wave in range(10):
        now = 1 + 5.0 * wave
        for number in range(10):
            planner.enqueue(urgent(f"u{wave}-{number}"))
        plan = planner.plan(now, 99)
        victims, started = preempted(plan), placed(plan)
        for name in victims:
            end(planner, name, now + 1, TaskState.CHECKPOINTED)
        started += placed(planner.plan(now + 1, 99))
        for name in started:
            if name.startswith("u"):
                end(planner, name, now + 2)
        lost += len(victims)
        planner.enqueue(normal)
        planner.plan(now + 2, 99)
    assert lost == 40
    planner.enqueue(urgent("late"))
    assert preempted(planner.plan(62, 99))
