"""A cluster scheduler for services, batch runs and jobs started together."""

from cassiaweir.exceptions import CassiaweirError
from cassiaweir.settings import Settings
from cassiaweir.verdict import Verdict

__all__ = ["CassiaweirError", "Settings", "Verdict", "__version__"]

__version__ = "0.1.0"
