"""Configuration bundles, their approval, operators, and a process's view of them."""

from cassiaweir.configuration._audit import AuditedTable, AuditEntry
from cassiaweir.configuration._bundle import (
    Bundle,
    Limit,
    QueueEntry,
    ServiceEntry,
    TeamEntry,
    parse_bundle,
    read_bundle,
)
from cassiaweir.configuration._operators import (
    Operator,
    OperatorRole,
    Operators,
    secret_digest,
)
from cassiaweir.configuration._repository import BundleRepository
from cassiaweir.configuration._rows import (
    BUNDLE_HEAD,
    BUNDLE_LAST,
    BUNDLE_VERSION_PREFIX,
    KEY_PREFIX,
    BundleHead,
    BundleState,
    BundleVersion,
    KeyRow,
    Review,
    decode_counter,
    decode_head,
    version_key,
)
from cassiaweir.configuration._view import TableView
from cassiaweir.configuration._view_content import KnownKey, ViewContent

__all__ = [
    "BUNDLE_HEAD",
    "BUNDLE_LAST",
    "BUNDLE_VERSION_PREFIX",
    "KEY_PREFIX",
    "AuditEntry",
    "AuditedTable",
    "Bundle",
    "BundleHead",
    "BundleRepository",
    "BundleState",
    "BundleVersion",
    "KeyRow",
    "KnownKey",
    "Limit",
    "Operator",
    "OperatorRole",
    "Operators",
    "QueueEntry",
    "Review",
    "ServiceEntry",
    "TableView",
    "TeamEntry",
    "ViewContent",
    "decode_counter",
    "decode_head",
    "parse_bundle",
    "read_bundle",
    "secret_digest",
    "version_key",
]
