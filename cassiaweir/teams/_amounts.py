"""Arithmetic on amounts of resources, dimension by dimension."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from cassiaweir.types import Resources


class Amount(msgspec.Struct, frozen=True):
    """An amount as it stands in a row."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @classmethod
    def of(cls, value: Resources) -> Amount:
        """Return `value` as it stands in a row."""
        return cls(value.cpu_millis, value.memory_mb, value.accelerators)

    def resources(self) -> Resources:
        """Return the amount to reckon with."""
        return Resources(self.cpu_millis, self.memory_mb, self.accelerators)


def combine(operation: Callable[..., int], *values: Resources) -> Resources:
    """Return `operation` applied to each dimension of `values`."""
    return Resources(
        operation(*(value.cpu_millis for value in values)),
        operation(*(value.memory_mb for value in values)),
        operation(*(value.accelerators for value in values)),
    )


def least(first: Resources, second: Resources) -> Resources:
    """Return the smaller of both in each dimension."""
    return combine(min, first, second)


def most(first: Resources, second: Resources) -> Resources:
    """Return the larger of both in each dimension."""
    return combine(max, first, second)


def remainder(first: Resources, second: Resources) -> Resources:
    """Return `first` less `second`, and 0 where that would be negative."""
    return combine(lambda one, other: max(one - other, 0), first, second)


def total(values: Iterable[Resources]) -> Resources:
    """Return the sum of `values`."""
    return sum(values, Resources())


def round_up(value: Resources, chunk: Resources) -> Resources:
    """Return `value` raised to whole chunks."""
    return combine(
        lambda one, unit: -(-one // unit) * unit if unit else one, value, chunk
    )
