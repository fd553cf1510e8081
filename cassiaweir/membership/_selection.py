"""Selection of the peers that a process exchanges heartbeats with."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

MAX_SAME_DOMAIN_PEERS = 8
MAX_OTHER_DOMAIN_PEERS = 2
ROUNDS_PER_SELECTION = 20


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """The failure domain of a peer and the gRPC address at which it listens."""

    process: str
    failure_domain: str
    address: str


class PeerSelection:
    """Chooses peers at random, in the failure domain of this process and in others.

    The choice is kept for `ROUNDS_PER_SELECTION` rounds, because each new connection
    costs a handshake.
    """

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._selected: set[str] = set()
        self._round = 0

    def choose(self, candidates: Iterable[PeerAddress]) -> list[PeerAddress]:
        """Start a round, and return its peers from among `candidates`."""
        ordered = sorted(candidates, key=lambda peer: peer.process)
        if self._round % ROUNDS_PER_SELECTION == 0:
            self._selected.clear()
        self._round += 1
        same_domain = [peer for peer in ordered if self._is_same_domain(peer)]
        other_domains = [peer for peer in ordered if not self._is_same_domain(peer)]
        return [
            *self._select(same_domain, MAX_SAME_DOMAIN_PEERS),
            *self._select(other_domains, MAX_OTHER_DOMAIN_PEERS),
        ]

    def _is_same_domain(self, peer: PeerAddress) -> bool:
        return peer.failure_domain == self._failure_domain

    def _select(self, peers: list[PeerAddress], limit: int) -> list[PeerAddress]:
        """Return at most `limit` of `peers`, first those already selected."""
        selected = [peer for peer in peers if peer.process in self._selected][:limit]
        others = [peer for peer in peers if peer.process not in self._selected]
        missing_count = min(limit - len(selected), len(others))
        selected += self._rng.sample(others, missing_count)
        self._selected.update(peer.process for peer in selected)
        return selected
