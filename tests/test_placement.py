"""Tests of the single rules of `cassiaweir.placement.FairPlanner`."""

from dataclasses import replace

from cassiaweir.placement import FairPlanner, VmCondition, VmOffer, WaitReason
from cassiaweir.types import JobKind, Resources, TaskId, TaskState, Urgency
from tests.placement_helpers import (
    CORE,
    PLENTY,
    VM_SIZE,
    group,
    offer,
    placed,
    planner_with,
)


def test_batch_packs_one_vm_before_it_uses_the_next():
    planner = planner_with(vms=3)
    planner.enqueue(group("j", tasks=4))
    assert len({placement.vm for placement in planner.plan(0, 10).placements}) == 1


def test_a_service_spreads_over_racks():
    planner = planner_with(vms=4, racks=2)
    planner.enqueue(group("s", tasks=2, kind=JobKind.SERVICE, declared_seconds=0))
    vms = [placement.vm for placement in planner.plan(0, 10).placements]
    assert {int(vm[2:]) % 2 for vm in vms} == {0, 1}


def start_service(planner: FairPlanner, job: str, tasks: int) -> set[str]:
    """Start a service and return the VMs of its tasks."""
    planner.enqueue(group(job, tasks=tasks, kind=JobKind.SERVICE, declared_seconds=0))
    return {placement.vm for placement in planner.plan(0, 10).placements}


def test_services_share_vms_and_each_spreads_over_several():
    planner = planner_with(vms=4)
    first = start_service(planner, "s", 2)
    assert len(first) == 2
    assert start_service(planner, "t", 2) == first


def test_a_service_avoids_a_vm_that_is_busier_than_declared():
    planner = planner_with(vms=2)
    (busy,) = start_service(planner, "s", 1)
    planner.task_usage(TaskId("s", 0), CORE * 4)
    assert start_service(planner, "t", 1).isdisjoint({busy})


def test_without_fair_share_jobs_start_by_age():
    planner = FairPlanner(fair_share=False)
    planner.set_vm(offer(0), VmCondition.OPEN)
    for team in ("a", "b"):
        planner.set_team(team, 1, PLENTY)
    planner.enqueue(group("old", "a", tasks=4, submitted_at=0.0))
    planner.enqueue(group("new", "b", tasks=4, submitted_at=1.0))
    assert {task.partition("/")[0] for task in placed(planner.plan(2, 4))} == {"old"}


def test_a_gang_starts_as_a_whole_or_not_at_all():
    planner = planner_with(vms=2)
    planner.enqueue(group("g", tasks=9, kind=JobKind.GANG))
    planner.enqueue(group("h", tasks=8, kind=JobKind.GANG, submitted_at=1))
    assert placed(planner.plan(0, 10)) == [f"h/{index}" for index in range(8)]
    assert planner.wait_reason("g", 0) is WaitReason.NO_ROOM


def test_a_gang_prefers_one_rack():
    planner = planner_with(vms=4, racks=2)
    planner.enqueue(group("g", tasks=8, kind=JobKind.GANG))
    vms = {placement.vm for placement in planner.plan(0, 10).placements}
    assert vms in ({"vm0", "vm2"}, {"vm1", "vm3"})


def test_urgent_work_goes_first():
    planner = planner_with(vms=1)
    planner.enqueue(group("n", tasks=4))
    planner.enqueue(group("u", "b", urgency=Urgency.URGENT, submitted_at=9))
    assert placed(planner.plan(9, 1)) == ["u/0"]


def test_teams_share_by_weight_when_the_fleet_is_full():
    planner = planner_with(vms=2)
    planner.set_team("a", 3, PLENTY)
    for team in ("a", "b"):
        planner.enqueue(group(f"j{team}", team, tasks=8))
    planner.plan(0, 8)
    assert planner.allocated("a") == CORE * 6
    assert planner.allocated("b") == CORE * 2


def test_a_team_at_its_allotment_starts_nothing_until_a_task_ends():
    planner = planner_with(vms=2)
    planner.set_team("a", 1, CORE * 2)
    planner.enqueue(group("j", tasks=3))
    assert placed(planner.plan(0, 10)) == ["j/0", "j/1"]
    assert planner.wait_reason("j", 0) is WaitReason.TEAM_LIMIT
    planner.task_ended(TaskId("j", 0), TaskState.SUCCEEDED, 1)
    assert placed(planner.plan(1, 10)) == ["j/2"]


def test_a_refused_task_waits_again_but_an_ended_one_does_not():
    planner = planner_with()
    planner.enqueue(group("j", tasks=2))
    planner.plan(0, 10)
    planner.task_refused(TaskId("j", 0), 1)
    planner.task_ended(TaskId("j", 1), TaskState.FAILED, 1)
    assert placed(planner.plan(1, 10)) == ["j/0"]


def test_cancel_drops_waiting_tasks_and_returns_running_ones():
    planner = planner_with(vms=1)
    planner.enqueue(group("j", tasks=6))
    planner.plan(0, 10)
    assert len(planner.cancel("j")) == 4
    planner.task_ended(TaskId("j", 0), TaskState.STOPPED, 1)
    assert not planner.plan(1, 10).placements
    assert planner.demand("a") == CORE * 3


def test_adopted_tasks_count_beyond_the_allotment_and_are_returned_as_excess():
    planner = planner_with(vms=1)
    planner.set_team("a", 1, CORE)
    job = group("j", tasks=6)
    for index in range(6):
        planner.adopt(job, TaskId("j", index), "vm0", float(index))
    assert planner.allocated("a") == CORE * 6
    stop = [str(task) for task, _ in planner.excess_tasks("a")]
    assert stop == ["j/5", "j/4", "j/3", "j/2", "j/1"]


def test_wait_reasons_of_tasks_that_no_open_vm_fits():
    planner = planner_with(vms=1)
    planner.enqueue(group("huge", size=VM_SIZE * 2))
    planner.enqueue(group("large", size=VM_SIZE))
    closed = VmOffer("vm0", "augusta", "rack0", VM_SIZE)
    planner.set_vm(closed, VmCondition.DRAINING)
    planner.plan(0, 10)
    assert planner.wait_reason("huge", 0) is WaitReason.FITS_NO_VM
    assert planner.wait_reason("large", 0) is WaitReason.ALL_FITTING_VMS_CLOSED
    assert not planner.fits_some_vm(VM_SIZE * 2)
    planner.set_vm(closed, VmCondition.OPEN)
    assert placed(planner.plan(1, 10)) == ["large/0"]


def test_a_vm_on_probation_takes_one_task_at_a_time():
    planner = planner_with(vms=1)
    offer = VmOffer("vm0", "augusta", "rack0", VM_SIZE)
    planner.set_vm(offer, VmCondition.PROBATION)
    planner.enqueue(group("j", tasks=2))
    assert placed(planner.plan(0, 10)) == ["j/0"]
    planner.task_ended(TaskId("j", 0), TaskState.SUCCEEDED, 1)
    assert placed(planner.plan(1, 10)) == ["j/1"]


def test_tasks_on_a_removed_vm_count_until_they_end():
    planner = planner_with(vms=1)
    planner.enqueue(group("j"))
    planner.plan(0, 10)
    planner.remove_vm("vm0")
    assert planner.allocated("a") == CORE
    planner.task_ended(TaskId("j", 0), TaskState.LEASE_EXPIRED, 1)
    assert planner.allocated("a") == Resources()
    assert not planner.fits_some_vm(CORE)


def test_a_gang_stopped_for_its_allotment_starts_again_as_a_whole():
    planner = planner_with(vms=2)
    gang = group("g", tasks=3, kind=JobKind.GANG)
    planner.enqueue(gang)
    planner.plan(0, 9)
    planner.set_team("a", 1, CORE * 2)
    assert len(planner.excess_tasks("a")) == 3
    planner.set_team("a", 1, PLENTY)
    for index in range(3):
        assert not planner.plan(index, 9).placements
        planner.task_ended(TaskId("g", index), TaskState.CHECKPOINTED, index)
        planner.enqueue(replace(gang, indexes=(index,)))
        expected = (
            WaitReason.BEHIND_OTHERS if index == 2 else WaitReason.WAITING_FOR_ALL
        )
        assert planner.wait_reason("g", index) is expected
    assert len(planner.plan(3, 9).placements) == 3
