"""Tests of `cassiaweir.placement.WorkerHealth`."""

from cassiaweir.placement import FairPlanner, VmCondition, WaitReason, WorkerHealth
from cassiaweir.types import TaskState
from tests.placement_helpers import PLENTY, end, group, offer, placed

FAILED, SUCCEEDED = TaskState.FAILED, TaskState.SUCCEEDED


def quarantined_health() -> WorkerHealth:
    health = WorkerHealth()
    for number in range(3):
        health.task_ended("bad", f"j{number}", FAILED, 0)
    return health


def test_a_vm_that_fails_several_jobs_in_a_row_is_quarantined_then_on_probation():
    health = quarantined_health()
    assert health.condition("bad", 59) is VmCondition.QUARANTINED
    assert health.condition("bad", 60) is VmCondition.PROBATION
    health.task_ended("bad", "j9", SUCCEEDED, 61)
    assert health.condition("bad", 61) is VmCondition.PROBATION
    health.task_ended("bad", "j9", SUCCEEDED, 62)
    assert health.condition("bad", 62) is VmCondition.OPEN


def test_a_failure_on_probation_doubles_the_quarantine():
    health = quarantined_health()
    health.task_ended("bad", "j9", FAILED, 60)
    assert health.condition("bad", 179) is VmCondition.QUARANTINED
    assert health.condition("bad", 180) is VmCondition.PROBATION


def test_failures_during_the_quarantine_do_not_lengthen_it():
    health = quarantined_health()
    health.task_ended("bad", "j9", FAILED, 5)
    assert health.condition("bad", 60) is VmCondition.PROBATION


def test_a_success_resets_the_failures_and_one_job_alone_never_quarantines():
    health = WorkerHealth()
    for number in range(2):
        health.task_ended("vm", f"j{number}", FAILED, 0)
    health.task_ended("vm", "ok", SUCCEEDED, 0)
    for _ in range(9):
        health.task_ended("vm", "j9", FAILED, 0)
    assert health.condition("vm", 0) is VmCondition.OPEN


def test_stopped_checkpointed_and_lapsed_tasks_are_not_failures():
    health = WorkerHealth()
    for state in (TaskState.STOPPED, TaskState.CHECKPOINTED, TaskState.LEASE_EXPIRED):
        for number in range(3):
            health.task_ended(f"vm{number}", f"j{number}", state, 0)
    assert health.condition("vm0", 0) is VmCondition.OPEN
    assert not health.is_poisoned("j0")


def test_a_job_that_fails_on_several_vms_is_poisoned_and_clears_the_vms():
    health = WorkerHealth()
    health.task_ended("vm0", "other", FAILED, 0)
    health.task_ended("vm0", "another", FAILED, 0)
    for number in (1, 2, 0):
        health.task_ended(f"vm{number}", "poison", FAILED, 0)
    assert health.is_poisoned("poison")
    assert health.condition("vm0", 0) is VmCondition.OPEN


def test_failures_on_a_bad_vm_do_not_poison_jobs():
    health = quarantined_health()
    health.task_ended("vm1", "j0", FAILED, 1)
    health.task_ended("vm2", "j0", FAILED, 1)
    assert not health.is_poisoned("j0")


def test_a_job_that_succeeded_once_is_never_poisoned():
    health = WorkerHealth()
    health.task_ended("vm0", "j", SUCCEEDED, 0)
    for number in range(5):
        health.task_ended(f"vm{number}", "j", FAILED, 0)
    assert not health.is_poisoned("j")


def test_the_planner_does_not_start_a_poisoned_job():
    health = WorkerHealth()
    planner = FairPlanner(is_poisoned=health.is_poisoned)
    planner.set_vm(offer(0), VmCondition.OPEN)
    planner.set_team("a", 1, PLENTY)
    planner.enqueue(group("p", tasks=6))
    planner.plan(0, 9)
    for number in range(3):
        health.task_ended(f"vm{number}", "p", FAILED, 0)
    end(planner, "p/0", 1, FAILED)
    planner.enqueue(group("ok", submitted_at=1.0))
    assert placed(planner.plan(1, 9)) == ["ok/0"]
    assert planner.wait_reason("p", 1) is WaitReason.POISONED
