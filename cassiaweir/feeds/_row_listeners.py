"""Passes the changes of watched rows on to several listeners."""

from __future__ import annotations

from collections.abc import Sequence

from loguru import logger

from cassiaweir.feeds._table_watch import RowListener
from cassiaweir.types import Row


class RowListeners:
    """A row listener that passes each change on to all of `listeners`.

    An error in one of them does not keep the change from the others.
    """

    def __init__(self, listeners: Sequence[RowListener]) -> None:
        self._listeners = tuple(listeners)

    def on_row(self, key: str, row: Row | None) -> None:
        """Pass the new row at `key` on, None if it was removed."""
        for listener in self._listeners:
            try:
                listener.on_row(key, row)
            except Exception as exc:
                logger.opt(exception=exc).error("row_not_applied", key=key)
