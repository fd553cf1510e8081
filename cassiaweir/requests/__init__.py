"""Requests to backend servers: slots, claims and routing."""

from cassiaweir.requests._backends import HttpBackendClient
from cassiaweir.requests._broker import SlotBroker
from cassiaweir.requests._claims import ClaimRow, Claims, ClaimState, Committer
from cassiaweir.requests._models import ServiceAnswer, ServiceRequest
from cassiaweir.requests._router import Router
from cassiaweir.requests._slot_client import SlotClient
from cassiaweir.requests._slot_service import SlotService

__all__ = [
    "ClaimRow",
    "ClaimState",
    "Claims",
    "Committer",
    "HttpBackendClient",
    "Router",
    "ServiceAnswer",
    "ServiceRequest",
    "SlotBroker",
    "SlotClient",
    "SlotService",
]
