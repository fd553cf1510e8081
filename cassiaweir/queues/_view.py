"""The newest configuration that this process has read."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from cassiaweir.exceptions import InvalidInputError
from cassiaweir.queues._models import NO_CONFIGURATION, QueueConfiguration
from cassiaweir.types import Row


class ConfigurationView:
    """Keeps the newest version of the configuration; ignores older ones.

    As a row listener, it reads the row at `key`.  `decode` returns the configuration
    in the row's value, or raises `InvalidInputError`.
    """

    def __init__(self, key: str, decode: Callable[[bytes], QueueConfiguration]) -> None:
        self._key = key
        self._decode = decode
        self._current = NO_CONFIGURATION

    def current(self) -> QueueConfiguration:
        """Return the newest configuration that has been read."""
        return self._current

    @property
    def known(self) -> bool:
        """Whether any configuration has been read."""
        return self._current is not NO_CONFIGURATION

    def on_row(self, key: str, row: Row | None) -> None:
        """Adopt the configuration in `row` if it is readable and newer."""
        if key != self._key or row is None:
            return
        try:
            configuration = self._decode(row.value)
        except InvalidInputError as exc:
            logger.error("configuration_unreadable", cause=str(exc))
            return
        if configuration.version <= self._current.version:
            return
        logger.info(
            "configuration_in_force",
            version=configuration.version,
            former=self._current.version,
            queues=len(configuration.queues),
            customers=len(configuration.customers),
        )
        self._current = configuration
