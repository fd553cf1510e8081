"""Clients and data formats of the platforms that cassiaweir runs on.

This package only translates between a platform's formats and the types of this
project; scheduling decisions are made elsewhere.
"""

from cassiaweir.platform._advice import HttpAdviceClient
from cassiaweir.platform._http import HttpSession
from cassiaweir.platform._job_codec import PlatformJobCodec
from cassiaweir.platform._local_settings import (
    LocalSettings,
    load_local_settings,
    local_settings_path,
)
from cassiaweir.platform._manifest import (
    EVACUATION_PREFIX,
    MANIFEST_KEY,
    MANIFEST_PREFIX,
    decode_manifest,
)
from cassiaweir.platform._servers import (
    SERVERS_PREFIX,
    HttpServerClient,
    decode_server_entry,
)
from cassiaweir.platform._services import HttpObjectStore, HttpVmList, HttpWorkers
from cassiaweir.platform._session import PlatformSession
from cassiaweir.platform._store import DirectTransport, PlatformStore
from cassiaweir.platform._table import HttpTable

__all__ = [
    "EVACUATION_PREFIX",
    "MANIFEST_KEY",
    "MANIFEST_PREFIX",
    "SERVERS_PREFIX",
    "DirectTransport",
    "HttpAdviceClient",
    "HttpObjectStore",
    "HttpServerClient",
    "HttpSession",
    "HttpTable",
    "HttpVmList",
    "HttpWorkers",
    "LocalSettings",
    "PlatformJobCodec",
    "PlatformSession",
    "PlatformStore",
    "decode_manifest",
    "decode_server_entry",
    "load_local_settings",
    "local_settings_path",
]
