"""Clients of the platform's services, behind the Protocols of `cassiaweir.types`."""

from cassiaweir.platform._advice import AdviceCalls
from cassiaweir.platform._group_commit import GroupCommit
from cassiaweir.platform._http import HttpSession
from cassiaweir.platform._job_form import PlatformJobForms
from cassiaweir.platform._manifest import (
    MANIFEST_KEY,
    MANIFEST_PREFIX,
    decode_manifest,
)
from cassiaweir.platform._pages import scan_in_pages
from cassiaweir.platform._process_file import (
    ProcessFile,
    load_process_file,
    process_file_path,
)
from cassiaweir.platform._servers import (
    SERVERS_PREFIX,
    ServerCalls,
    decode_server_entry,
)
from cassiaweir.platform._services import HttpObjectStore, HttpVmList, HttpWorkers
from cassiaweir.platform._session import PlatformSession
from cassiaweir.platform._shared_list import SharedVmList, WorkerSizes
from cassiaweir.platform._store import DirectTransport, PlatformStore
from cassiaweir.platform._table import HttpTable

__all__ = [
    "MANIFEST_KEY",
    "MANIFEST_PREFIX",
    "SERVERS_PREFIX",
    "AdviceCalls",
    "DirectTransport",
    "GroupCommit",
    "HttpObjectStore",
    "HttpSession",
    "HttpTable",
    "HttpVmList",
    "HttpWorkers",
    "PlatformJobForms",
    "PlatformSession",
    "PlatformStore",
    "ProcessFile",
    "ServerCalls",
    "SharedVmList",
    "WorkerSizes",
    "decode_manifest",
    "decode_server_entry",
    "load_process_file",
    "process_file_path",
    "scan_in_pages",
]
