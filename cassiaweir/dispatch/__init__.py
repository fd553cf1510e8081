"""Runs jobs on backend servers.

The leader decides in which order the tasks of jobs start and on which servers, keeps
the leases of their runs alive, and stores how the jobs end.
"""

from cassiaweir.dispatch._advice import Advice, Advisor
from cassiaweir.dispatch._advice_cache import AdviceCache
from cassiaweir.dispatch._call_queue import MAX_CALLS_PER_SERVER
from cassiaweir.dispatch._dispatcher import AdviceCacheFactory
from cassiaweir.dispatch._evacuation import EvacuationSource
from cassiaweir.dispatch._job_rows import (
    PROGRESS_PREFIX,
    cancel_key,
    job_key,
    job_part,
    outcome_key,
)
from cassiaweir.dispatch._leases import LeaseLimits
from cassiaweir.dispatch._objective import critical_path_s, objective_of
from cassiaweir.dispatch._refusal_rows import Refusal, decode_refusal, encode_refusal
from cassiaweir.dispatch._server_entry import (
    EndKind,
    OrderOutcome,
    RunningTask,
    ServerEntry,
    ServerReport,
    StartOrder,
    TaskEnd,
)
from cassiaweir.dispatch._shares import ShareAllowance
from cassiaweir.dispatch._term import LeaderTerm

__all__ = [
    "MAX_CALLS_PER_SERVER",
    "PROGRESS_PREFIX",
    "Advice",
    "AdviceCache",
    "AdviceCacheFactory",
    "Advisor",
    "EndKind",
    "EvacuationSource",
    "LeaderTerm",
    "LeaseLimits",
    "OrderOutcome",
    "Refusal",
    "RunningTask",
    "ServerEntry",
    "ServerReport",
    "ShareAllowance",
    "StartOrder",
    "TaskEnd",
    "cancel_key",
    "critical_path_s",
    "decode_refusal",
    "encode_refusal",
    "job_key",
    "job_part",
    "objective_of",
    "outcome_key",
]
