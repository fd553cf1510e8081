"""Tables of the store that a process keeps in memory, up to date by the feed."""

from cassiaweir.feeds._table_watch import RowListener, TableWatch

__all__ = ["RowListener", "TableWatch"]
