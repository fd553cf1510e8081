"""Learns how long work takes and how fast servers are, from what running work shows.

Nothing here imports messages, the store or the dispatcher, so that it can be tested
alone.  Nothing is stored: a new leader learns again, and uses estimates until then.
"""

from cassiaweir.scheduling._durations import DurationModel
from cassiaweir.scheduling._interference import InterferenceModel, InterferingPair
from cassiaweir.scheduling._samples import (
    MIN_GAIN_PERCENT,
    Progress,
    ProgressSampler,
)
from cassiaweir.scheduling._server_speeds import ServerSpeeds
from cassiaweir.scheduling._sibling_rates import SiblingRates
from cassiaweir.scheduling._step_durations import StepDurations

__all__ = [
    "MIN_GAIN_PERCENT",
    "DurationModel",
    "InterferenceModel",
    "InterferingPair",
    "Progress",
    "ProgressSampler",
    "ServerSpeeds",
    "SiblingRates",
    "StepDurations",
]
