"""Who leads a deployment, and the writes that only the leader may make."""

from cassiaweir.leadership._candidacy import Candidacy
from cassiaweir.leadership._commits import CommitStream
from cassiaweir.leadership._election import Election, Probe, ProbeResult, Term
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
    "Leadership",
    "Owner",
    "Probe",
    "ProbeResult",
    "Term",
    "decode_owner",
]
