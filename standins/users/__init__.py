"""The platform of the project's users in memory.

It has a store, backend servers, and a history of the runs with checks of it.
"""

from standins.users._http import ServerService, StoreService, listening
from standins.users._rows import MemoryStore
from standins.users._servers import SERVER_SIZE, SERVICE, FakeRun, FakeServer
from standins.users._site import ENTRY_LIFETIME_S, EVACUATION_S, Deadly, RunRecord, Site
from standins.users._verdicts import (
    UnjustifiedFailure,
    describe_failure,
    may_be_given_up,
    unjustified_failures,
)

__all__ = [
    "ENTRY_LIFETIME_S",
    "EVACUATION_S",
    "SERVER_SIZE",
    "SERVICE",
    "Deadly",
    "FakeRun",
    "FakeServer",
    "MemoryStore",
    "RunRecord",
    "ServerService",
    "Site",
    "StoreService",
    "UnjustifiedFailure",
    "describe_failure",
    "listening",
    "may_be_given_up",
    "unjustified_failures",
]
