"""Teams: keys, and the allotments of their upper limits."""

from cassiaweir.teams._keys import GrantedKey, KeyRegistry, ListedKey

__all__ = ["GrantedKey", "KeyRegistry", "ListedKey"]
