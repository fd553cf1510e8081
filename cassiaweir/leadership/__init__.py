"""Leader election among the entry VMs, and the leader's fenced writes."""

from cassiaweir.leadership._candidacy import Candidacy
from cassiaweir.leadership._commits import CommitStream
from cassiaweir.leadership._election import Election, LeaderProbe, ProbeResult, Term
from cassiaweir.leadership._rows import (
    LEAD_PREFIX,
    Guard,
    Owner,
    decode_owner,
)
from cassiaweir.leadership._terms import LEADERSHIP_VALIDITY, Leadership

__all__ = [
    "LEADERSHIP_VALIDITY",
    "LEAD_PREFIX",
    "Candidacy",
    "CommitStream",
    "Election",
    "Guard",
    "LeaderProbe",
    "Leadership",
    "Owner",
    "ProbeResult",
    "Term",
    "decode_owner",
]
