"""Which peers a process exchanges heartbeats with."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

MOST_DOMAIN_PEERS = 8
ELSEWHERE_PEERS = 2
ROUNDS_PER_CHOICE = 20


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a peer listens."""

    process: str
    failure_domain: str
    address: str


class PeerSelection:
    """Chooses the peers of the own failure domain and a few at random elsewhere.

    The random ones are kept for `ROUNDS_PER_CHOICE` rounds, as each new connection
    costs a handshake.
    """

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._chosen: set[str] = set()
        self._round = 0

    def choose(self, candidates: Iterable[PeerAddress]) -> list[PeerAddress]:
        """Return the peers of this round out of `candidates`."""
        ordered = sorted(candidates, key=lambda peer: peer.process)
        if self._round % ROUNDS_PER_CHOICE == 0:
            self._chosen.clear()
        self._round += 1
        near = [peer for peer in ordered if self._is_near(peer)]
        far = [peer for peer in ordered if not self._is_near(peer)]
        return [
            *self._keep(near, MOST_DOMAIN_PEERS),
            *self._keep(far, ELSEWHERE_PEERS),
        ]

    def _is_near(self, peer: PeerAddress) -> bool:
        return peer.failure_domain == self._failure_domain

    def _keep(self, peers: list[PeerAddress], most: int) -> list[PeerAddress]:
        """Return at most `most` of `peers`, those chosen before first."""
        kept = [peer for peer in peers if peer.process in self._chosen][:most]
        others = [peer for peer in peers if peer.process not in self._chosen]
        wanted = min(most - len(kept), len(others))
        kept += self._rng.sample(others, wanted)
        self._chosen.update(peer.process for peer in kept)
        return kept
