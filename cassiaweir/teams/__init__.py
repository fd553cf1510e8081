"""Keys of teams, and the allotment of each team's limit to the shards."""

from cassiaweir.teams._allotment_row import AllotmentRow
from cassiaweir.teams._allotments import ShardAllotments
from cassiaweir.teams._keys import (
    KEY_USES,
    GrantedKey,
    KeyRegistry,
    KeyUse,
    KeyUseWriter,
    ListedKey,
)

__all__ = [
    "KEY_USES",
    "AllotmentRow",
    "GrantedKey",
    "KeyRegistry",
    "KeyUse",
    "KeyUseWriter",
    "ListedKey",
    "ShardAllotments",
]
