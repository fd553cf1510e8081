"""The other entry VMs of a deployment: their registry, and RPC calls among them."""

from cassiaweir.peers._client import PeerClient
from cassiaweir.peers._members import (
    MEMBERS_PREFIX,
    Members,
    registered_instance,
)
from cassiaweir.peers._servicer import LeaderJobs, NodeServicer, RelayCalls
from cassiaweir.peers._store_route import StoreRoute

__all__ = [
    "MEMBERS_PREFIX",
    "LeaderJobs",
    "Members",
    "NodeServicer",
    "PeerClient",
    "RelayCalls",
    "StoreRoute",
    "registered_instance",
]
