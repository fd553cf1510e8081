"""Arithmetic on resources, applied to each dimension separately."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from cassiaweir.types import Resources


class Amount(msgspec.Struct, frozen=True):
    """The stored form of `Resources`."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @classmethod
    def of(cls, value: Resources) -> Amount:
        """Convert `value` to its stored form."""
        return cls(value.cpu_millis, value.memory_mb, value.accelerators)

    def resources(self) -> Resources:
        """Convert the stored amount to `Resources`."""
        return Resources(self.cpu_millis, self.memory_mb, self.accelerators)


def combine(operation: Callable[..., int], *values: Resources) -> Resources:
    """Return `operation` applied to each dimension of `values`."""
    return Resources(
        operation(*(value.cpu_millis for value in values)),
        operation(*(value.memory_mb for value in values)),
        operation(*(value.accelerators for value in values)),
    )


def elementwise_min(first: Resources, second: Resources) -> Resources:
    """Return the smaller value of each dimension."""
    return combine(min, first, second)


def elementwise_max(first: Resources, second: Resources) -> Resources:
    """Return the larger value of each dimension."""
    return combine(max, first, second)


def subtract_to_zero(first: Resources, second: Resources) -> Resources:
    """Return `first - second`, with 0 in place of negative values."""
    return combine(lambda one, other: max(one - other, 0), first, second)


def sum_resources(values: Iterable[Resources]) -> Resources:
    """Return the sum of `values`."""
    return sum(values, Resources())


def round_up_to_multiple(value: Resources, chunk: Resources) -> Resources:
    """Return `value` rounded up to a multiple of `chunk`.

    A dimension whose chunk is 0 is returned as it is.
    """
    return combine(
        lambda one, unit: -(-one // unit) * unit if unit else one, value, chunk
    )
