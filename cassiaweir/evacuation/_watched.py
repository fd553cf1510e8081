"""The evacuation requests together with the age of what is known about them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

from cassiaweir.evacuation._view import EvacuationView


class WatchedEvacuations:
    """An `EvacuationView` and the age of the watch that feeds it.

    `age` returns how long ago the view was current for sure.
    """

    def __init__(self, view: EvacuationView, age: Callable[[], timedelta]) -> None:
        self._view = view
        self._age = age

    @property
    def domains(self) -> frozenset[str]:
        """The domains whose evacuation is requested."""
        return self._view.domains

    @property
    def given_back_at(self) -> Mapping[str, float]:
        """When requests were withdrawn, by domain, on the monotonic clock."""
        return self._view.given_back_at

    def is_evacuated(self, domain: str) -> bool:
        """Return whether the evacuation of `domain` is requested."""
        return self._view.is_evacuated(domain)

    def age(self) -> timedelta:
        """Return the maximum age of the view; `timedelta.max` before it is loaded."""
        return self._age()
