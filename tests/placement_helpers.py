"""Shared helpers of the tests of `cassiaweir.placement`."""

from cassiaweir.placement import FairPlanner, Plan, TaskGroup, VmCondition, VmOffer
from cassiaweir.types import JobKind, Resources, TaskId, TaskState, Urgency

CORE = Resources(1000, 1024)
VM_SIZE = Resources(4000, 16_384)
PLENTY = Resources(10**9, 10**9, 10**6)


def offer(number: int, racks: int = 1, capacity: Resources = VM_SIZE) -> VmOffer:
    """Return a VM called `vm<number>`, in one of `racks` racks."""
    return VmOffer(f"vm{number}", "augusta", f"rack{number % racks}", capacity)


def planner_with(vms: int = 2, racks: int = 1, teams=("a", "b")) -> FairPlanner:
    """Return a planner with open VMs of four cores and teams with ample allotments."""
    planner = FairPlanner()
    for number in range(vms):
        planner.set_vm(offer(number, racks), VmCondition.OPEN)
    for name in teams:
        planner.set_team(name, 1, PLENTY)
    return planner


def group(job: str, team: str = "a", tasks: int = 1, **changes) -> TaskGroup:
    """Return normal batch tasks of one core and 10 s each; `changes` are fields."""
    values = {
        "kind": JobKind.BATCH,
        "urgency": Urgency.NORMAL,
        "size": CORE,
        "submitted_at": 0.0,
        "declared_seconds": 10.0,
    } | changes
    return TaskGroup(job=job, team=team, indexes=tuple(range(tasks)), **values)


def placed(plan: Plan) -> list[str]:
    """Return the placed tasks as `job/index`."""
    return [str(placement.task) for placement in plan.placements]


def end(planner: FairPlanner, task: str, now: float, state=TaskState.SUCCEEDED) -> None:
    """End the task called `job/index`."""
    job, _, index = task.partition("/")
    planner.task_ended(TaskId(job, int(index)), state, now)
