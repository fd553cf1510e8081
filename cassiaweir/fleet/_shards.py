"""Names of shards, and the assignment of VMs and owners to shards."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from functools import lru_cache

import xxhash

from cassiaweir.types import Vm

MAX_CACHED_RACKS = 4096


def shard_name(failure_domain: str, number: int) -> str:
    """Return the name of shard `number` of a failure domain."""
    return f"{failure_domain}-{number}"


def shard_domain(shard: str) -> str:
    """Return the failure domain of a shard."""
    return shard.rpartition("-")[0]


def shard_names(failure_domains: Iterable[str], shards_per_domain: int) -> list[str]:
    """Return the names of all shards of the cell."""
    return [
        shard_name(domain, number)
        for domain in failure_domains
        for number in range(shards_per_domain)
    ]


def shard_of(vm: Vm, shards_per_domain: int) -> str:
    """Return the shard that `vm` belongs to, by rendezvous hashing of its rack."""
    return _shard_of_rack(vm.failure_domain, vm.rack, shards_per_domain)


@lru_cache(maxsize=MAX_CACHED_RACKS)
def _shard_of_rack(failure_domain: str, rack: str, shards_per_domain: int) -> str:
    names = shard_names([failure_domain], shards_per_domain)
    return max(names, key=lambda name: rendezvous_rank(name, rack))


def preferred_owners(shards: Iterable[str], processes: Sequence[str]) -> dict[str, str]:
    """Return the preferred owner of each shard, spread evenly over `processes`.

    The result depends on the arguments alone, so processes that know the same live
    schedulers agree on it without a message.
    """
    counts = dict.fromkeys(processes, 0)
    owners = {}
    for shard in sorted(shards):
        fewest = min(counts.values())
        least_loaded = [name for name, count in counts.items() if count == fewest]
        ranks = {name: rendezvous_rank(name, shard) for name in least_loaded}
        owner = max(ranks, key=ranks.__getitem__)
        owners[shard] = owner
        counts[owner] += 1
    return owners


def rendezvous_rank(node: str, key: str) -> int:
    """Return the rendezvous hash of `node` for `key`; the highest hash is chosen."""
    return xxhash.xxh64_intdigest(f"{node}\0{key}".encode())
