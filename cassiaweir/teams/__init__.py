"""Teams: keys, and the allotments of their upper limits."""

from cassiaweir.teams._allotment_row import AllotmentRow
from cassiaweir.teams._allotments import ShardAllotments
from cassiaweir.teams._keys import GrantedKey, KeyRegistry, KeyUseWriter, ListedKey

__all__ = [
    "AllotmentRow",
    "GrantedKey",
    "KeyRegistry",
    "KeyUseWriter",
    "ListedKey",
    "ShardAllotments",
]
