"""Membership: the rows of processes, heartbeats, and who owns which shard."""

from cassiaweir.membership._collector import Collected, Collector
from cassiaweir.membership._known import KnownProcess, KnownProcesses
from cassiaweir.membership._models import PROTOCOL_VERSION, Member, Role, compatible
from cassiaweir.membership._peers import Peers
from cassiaweir.membership._rows import MemberRows
from cassiaweir.membership._schedulers import SchedulerPeers
from cassiaweir.membership._shared_list import SharedVmList, WorkerSizes

__all__ = [
    "PROTOCOL_VERSION",
    "Collected",
    "Collector",
    "KnownProcess",
    "KnownProcesses",
    "Member",
    "MemberRows",
    "Peers",
    "Role",
    "SchedulerPeers",
    "SharedVmList",
    "WorkerSizes",
    "compatible",
]
