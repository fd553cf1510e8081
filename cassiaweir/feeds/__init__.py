"""In-memory copies of store rows, kept up to date by the change feed."""

from cassiaweir.feeds._row_listeners import RowListeners
from cassiaweir.feeds._table_watch import RowListener, TableWatch

__all__ = ["RowListener", "RowListeners", "TableWatch"]
