"""Remembers which demands found no room, so that larger ones are not looked for."""

from __future__ import annotations

from cassiaweir.types import Resources


class NoRoom:
    """The smallest demands for which no server had room.

    It holds as long as no room is freed.
    """

    def __init__(self) -> None:
        self._smallest: list[Resources] = []

    def covers(self, demand: Resources) -> bool:
        """Return whether there is no room for `demand`, as a smaller one found none."""
        return any(each.fits(demand) for each in self._smallest)

    def add(self, demand: Resources) -> None:
        """Note that no server had room for `demand`."""
        larger = [each for each in self._smallest if demand.fits(each)]
        for each in larger:
            self._smallest.remove(each)
        self._smallest.append(demand)
