"""Teams: keys, and the allotments of their upper limits."""

from cassiaweir.teams._allotments import AllotmentRow, ShardAllotments
from cassiaweir.teams._keys import GrantedKey, KeyRegistry, KeyUseWriter, ListedKey

__all__ = [
    "AllotmentRow",
    "GrantedKey",
    "KeyRegistry",
    "KeyUseWriter",
    "ListedKey",
    "ShardAllotments",
]
