"""Measures what the list of all VMs costs a process that decodes and sorts it."""

from __future__ import annotations

import gc
import time
import tracemalloc
import zlib
from collections.abc import Callable

import msgspec

from cassiaweir.fleet import shard_of
from cassiaweir.platform.wire import VmsAnswer
from cassiaweir.types import Resources, Vm, VmRole, VmState
from lab._results import Point

VM_COUNTS = (100, 700, 1_400)
FAILURE_DOMAINS = 24
WORKERS_PER_RACK = 8
REPEATS = 20
MS_PER_SECOND = 1000


async def measure_listing() -> list[Point]:
    """Vary the number of VMs in the list."""
    return [Point(count, _measure_list(count)) for count in VM_COUNTS]


def _measure_list(count: int) -> dict[str, float]:
    raw = msgspec.json.encode(VmsAnswer([_make_vm(number) for number in range(count)]))
    tracemalloc.start()
    vm_list = msgspec.json.decode(raw, type=VmsAnswer)
    gc.collect()
    decoded_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "bytes": len(raw),
        "bytes_compressed": len(zlib.compress(raw)),
        "held_bytes": decoded_bytes,
        "decode_ms": _time_ms(lambda: msgspec.json.decode(raw, type=VmsAnswer)),
        "sort_ms": _time_ms(lambda: [shard_of(vm, 1) for vm in vm_list.vms]),
    }


def _time_ms(call: Callable[[], object]) -> float:
    """Return the mean processor time of a call in milliseconds."""
    started_at = time.process_time()
    for _ in range(REPEATS):
        call()
    return (time.process_time() - started_at) / REPEATS * MS_PER_SECOND


def _make_vm(number: int) -> Vm:
    domain = f"domain-{number % FAILURE_DOMAINS}"
    index = number // FAILURE_DOMAINS
    name = f"{domain}-worker-{index}"
    return Vm(
        name=name,
        role=VmRole.WORKER,
        address=f"10.{number % FAILURE_DOMAINS}.0.{index}:7300",
        failure_domain=domain,
        rack=f"{domain}-rack-{index // WORKERS_PER_RACK}",
        incarnation=f"{name}.0",
        state=VmState.LIVE,
        capacity=Resources(16_000, 65_536),
    )
