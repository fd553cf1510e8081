"""Teams: keys, and the allotments of their upper limits."""

from cassiaweir.teams._keys import GrantedKey, KeyRegistry, KeyUseWriter, ListedKey

__all__ = ["GrantedKey", "KeyRegistry", "KeyUseWriter", "ListedKey"]
