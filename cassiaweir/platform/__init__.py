"""Clients of the platform's services, behind the Protocols of `cassiaweir.types`."""

from cassiaweir.platform._group_commit import GroupCommit
from cassiaweir.platform._pages import scan_in_pages
from cassiaweir.platform._services import HttpObjectStore, HttpVmList, HttpWorkers
from cassiaweir.platform._session import PlatformSession
from cassiaweir.platform._shared_list import SharedVmList, WorkerSizes
from cassiaweir.platform._table import HttpTable

__all__ = [
    "GroupCommit",
    "HttpObjectStore",
    "HttpTable",
    "HttpVmList",
    "HttpWorkers",
    "PlatformSession",
    "SharedVmList",
    "WorkerSizes",
    "scan_in_pages",
]
