"""Ownership of shards of VMs, and the scheduling of tasks on a shard's workers."""

from cassiaweir.background import BackgroundTasks
from cassiaweir.fleet._driver_types import DriverOptions
from cassiaweir.fleet._lease import LeaseOptions, Predecessor, ShardLease, ShardRow
from cassiaweir.fleet._ownership import Peers, ShardManager
from cassiaweir.fleet._part_store import Committer
from cassiaweir.fleet._runner import ShardRunner
from cassiaweir.fleet._runner_types import Allotments, PartStatus, RunnerOptions
from cassiaweir.fleet._service import SchedulerService
from cassiaweir.fleet._shards import (
    rendezvous_rank,
    shard_domain,
    shard_name,
    shard_names,
    shard_of,
)
from cassiaweir.fleet._worker_driver import WorkerDriver
from cassiaweir.fleet._worker_registry import Health

__all__ = [
    "Allotments",
    "BackgroundTasks",
    "Committer",
    "DriverOptions",
    "Health",
    "LeaseOptions",
    "PartStatus",
    "Peers",
    "Predecessor",
    "RunnerOptions",
    "SchedulerService",
    "ShardLease",
    "ShardManager",
    "ShardRow",
    "ShardRunner",
    "WorkerDriver",
    "rendezvous_rank",
    "shard_domain",
    "shard_name",
    "shard_names",
    "shard_of",
]
