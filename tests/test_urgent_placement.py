"""Tests of `cassiaweir.dispatch._urgent_placement`."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from types import SimpleNamespace
from typing import Any, cast

import pytest

from cassiaweir.dispatch._job_errors import JobErrors
from cassiaweir.dispatch._urgent_placement import UrgentPlacement
from cassiaweir.jobs import Step
from tests.test_dispatch_parts import step_of
from tests.virtual_time import VirtualClock, run_virtual


class Rig:
    """An `UrgentPlacement` whose placer only notes what it is to place."""

    def __init__(self) -> None:
        self.placed: list[list[Step]] = []
        self.leads = self.cancels_known = self.urgent = True
        placer = SimpleNamespace(
            is_urgent=lambda step: self.urgent, place_urgent=self._place
        )
        self.placement = UrgentPlacement(
            cast(Any, placer),
            VirtualClock(),
            cast(Any, SimpleNamespace(may_act=lambda now: self.leads)),
            cast(Any, SimpleNamespace(is_recent=lambda: self.cancels_known)),
            JobErrors(VirtualClock()),
        )

    def _place(self, steps: list[Step], limit: timedelta) -> None:
        self.placed.append(steps)

    async def request(self, step: Step) -> None:
        self.placement.request(step)
        self.placement.request(step)
        await asyncio.sleep(0)


def test_a_step_is_placed_once_for_all_requests_of_one_iteration():
    async def body() -> None:
        rig, step = Rig(), step_of()
        await rig.request(step)
        assert rig.placed == [[step]]
        await rig.request(step)
        assert rig.placed == [[step], [step]]

    run_virtual(body)


# Guards against a process that places tasks by a permission that has run out, or by an
# old view of cancelled jobs.
@pytest.mark.parametrize("missing", ["leads", "cancels_known", "urgent"])
def test_nothing_is_placed_without_the_leadership_or_recent_cancels(missing: str):
    async def body() -> None:
        rig = Rig()
        setattr(rig, missing, False)
        await rig.request(step_of())
        assert not rig.placed

    run_virtual(body)


# Guards against starts that are sent after a term has ended, around a hand-over.
def test_nothing_is_placed_once_the_term_ends():
    async def body() -> None:
        rig = Rig()
        rig.placement.request(step_of())
        rig.placement.close()
        await asyncio.sleep(0)
        await rig.request(step_of())
        assert not rig.placed

    run_virtual(body)
