"""The operators' command line over the administration API."""

from cassiaweir.ctl._commands import ctl

__all__ = ["ctl"]
