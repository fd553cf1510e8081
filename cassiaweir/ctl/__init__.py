"""`cassiaweir ctl`, the operators' command line client of the administration API."""

from cassiaweir.ctl._commands import ctl

__all__ = ["ctl"]
