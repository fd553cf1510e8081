"""A check of the operators' configuration before it is put in force."""

from cassiaweir.configuration_check._differences import (
    Change,
    Difference,
    find_differences,
)
from cassiaweir.configuration_check._fields import Finding
from cassiaweir.configuration_check._reader import (
    ConfigurationFile,
    UnreadableFileError,
    read_configuration,
    read_jobs,
    read_servers,
)
from cassiaweir.configuration_check._report import (
    CheckReport,
    check_files,
    render_json,
    render_text,
)
from cassiaweir.configuration_check._rules import CheckedWith, find_contradictions

__all__ = [
    "Change",
    "CheckReport",
    "CheckedWith",
    "ConfigurationFile",
    "Difference",
    "Finding",
    "UnreadableFileError",
    "check_files",
    "find_contradictions",
    "find_differences",
    "read_configuration",
    "read_jobs",
    "read_servers",
    "render_json",
    "render_text",
]
