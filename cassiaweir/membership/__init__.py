"""Cell membership: process rows in the table, heartbeats, and shard owners."""

from cassiaweir.membership._collector import CollectedEvents, EventCollector
from cassiaweir.membership._known_processes import KnownProcess, KnownProcesses
from cassiaweir.membership._models import PROTOCOL_VERSION, Member, Role, is_compatible
from cassiaweir.membership._peers import Peers
from cassiaweir.membership._rows import MemberRows
from cassiaweir.membership._schedulers import SchedulerPeers
from cassiaweir.membership._vm_lists import CachedVmList, WorkerSizes

__all__ = [
    "PROTOCOL_VERSION",
    "CachedVmList",
    "CollectedEvents",
    "EventCollector",
    "KnownProcess",
    "KnownProcesses",
    "Member",
    "MemberRows",
    "Peers",
    "Role",
    "SchedulerPeers",
    "WorkerSizes",
    "is_compatible",
]
