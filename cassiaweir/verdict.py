"""Whether a request has run, may have run, or has not run."""

from enum import StrEnum


class Verdict(StrEnum):
    """What is known about the execution of a request that got no plain answer."""

    NOT_RUN = "not_run"
    """No part of the request ran, and none will."""

    MAY_HAVE_RUN = "may_have_run"
    """The request may have run, may be running, or may still run."""

    RAN = "ran"
    """The request ran to its end."""
