"""The configuration bundle, its life, its operators, and the view of a process."""

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
    BundleHead,
    BundleState,
    BundleVersion,
    KeyRow,
    Review,
)
from cassiaweir.configuration._view import TableView
from cassiaweir.configuration._view_content import KnownKey, ViewContent

__all__ = [
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
    "parse_bundle",
    "read_bundle",
    "secret_digest",
]
