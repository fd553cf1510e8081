"""Shards of VMs, their owners, and the workers that they drive."""

from cassiaweir.background import Background
from cassiaweir.fleet._driver_types import DriverTerms
from cassiaweir.fleet._lease import LeaseTerms, Predecessor, ShardLease, ShardRow
from cassiaweir.fleet._ownership import Peers, ShardKeeper
from cassiaweir.fleet._part_store import Committer
from cassiaweir.fleet._roster import Health
from cassiaweir.fleet._runner import ShardRunner
from cassiaweir.fleet._runner_types import Allotments, PartStatus, RunnerTerms
from cassiaweir.fleet._service import SchedulerService
from cassiaweir.fleet._shards import (
    rendezvous_rank,
    shard_domain,
    shard_name,
    shard_names,
    shard_of,
)
from cassiaweir.fleet._worker_driver import WorkerDriver

__all__ = [
    "Allotments",
    "Background",
    "Committer",
    "DriverTerms",
    "Health",
    "LeaseTerms",
    "PartStatus",
    "Peers",
    "Predecessor",
    "RunnerTerms",
    "SchedulerService",
    "ShardKeeper",
    "ShardLease",
    "ShardRow",
    "ShardRunner",
    "WorkerDriver",
    "rendezvous_rank",
    "shard_domain",
    "shard_name",
    "shard_names",
    "shard_of",
]
