"""The queues, services and customers that the operators configure."""

from cassiaweir.queues._models import (
    NO_CONFIGURATION,
    AdvicePolicy,
    BackendService,
    Customer,
    Queue,
    QueueConfiguration,
)
from cassiaweir.queues._view import ConfigurationView

__all__ = [
    "NO_CONFIGURATION",
    "AdvicePolicy",
    "BackendService",
    "ConfigurationView",
    "Customer",
    "Queue",
    "QueueConfiguration",
]
