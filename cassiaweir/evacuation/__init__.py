"""The failure domains that operators want emptied, as this process has read them."""

from cassiaweir.evacuation._view import EvacuationView
from cassiaweir.evacuation._watched import WatchedEvacuations

__all__ = ["EvacuationView", "WatchedEvacuations"]
