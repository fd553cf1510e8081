"""Names, formats and calls of the platforms that cassiaweir runs on.

Nothing here decides: it translates between the platform and the project's own types.
"""

from cassiaweir.platform._advice import AdviceCalls
from cassiaweir.platform._http import HttpSession
from cassiaweir.platform._job_form import PlatformJobCodec
from cassiaweir.platform._manifest import (
    MANIFEST_KEY,
    MANIFEST_PREFIX,
    decode_manifest,
)
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
from cassiaweir.platform._store import DirectTransport, PlatformStore
from cassiaweir.platform._table import HttpTable

__all__ = [
    "MANIFEST_KEY",
    "MANIFEST_PREFIX",
    "SERVERS_PREFIX",
    "AdviceCalls",
    "DirectTransport",
    "HttpObjectStore",
    "HttpSession",
    "HttpTable",
    "HttpVmList",
    "HttpWorkers",
    "PlatformJobCodec",
    "PlatformSession",
    "PlatformStore",
    "ProcessFile",
    "ServerCalls",
    "decode_manifest",
    "decode_server_entry",
    "load_process_file",
    "process_file_path",
]
