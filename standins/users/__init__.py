"""The users' platform in memory: its store, backend servers, and what they saw."""

from standins.users._http import ServerService, StoreService, listening
from standins.users._rows import MemoryStore
from standins.users._servers import SERVER_SIZE, SERVICE, FakeRun, FakeServer
from standins.users._site import RunRecord, Site

__all__ = [
    "SERVER_SIZE",
    "SERVICE",
    "FakeRun",
    "FakeServer",
    "MemoryStore",
    "RunRecord",
    "ServerService",
    "Site",
    "StoreService",
    "listening",
]
