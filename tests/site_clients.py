"""Clients of a simulated site, which submit through a VM, give up and cancel."""

from __future__ import annotations

import asyncio
import itertools

from cassiaweir.exceptions import RefusedError, UnavailableError
from cassiaweir.front import JobWriter
from cassiaweir.front._cancels import CancelResult
from cassiaweir.jobs import JobSpec, StepSpec
from cassiaweir.types import Row
from tests.site_fakes import QUEUE, FakeSite, FakeVm
from tests.virtual_time import VirtualClock

_IDS = itertools.count(1)


class _Announcer:
    """Passes stored rows to the leader of the site, if there is one."""

    def __init__(self, site: FakeSite) -> None:
        self._site = site

    def notify_leader(self, rows: list[Row]) -> None:
        """Apply the rows at the leader."""
        leader = self._site.leader()
        if leader is not None:
            leader.term.apply_rows(rows)


class SiteClient:
    """Submits one job through a VM; may give up at any time, and then cancels it.

    `accepted` is whether the submission was answered so, `cancelled_at` when a cancel
    was acknowledged, on the clock of the event loop, and `result` its result.
    """

    def __init__(self, site: FakeSite, vm: FakeVm) -> None:
        self._site = site
        self.job_id = f"c{next(_IDS):015x}"
        self.accepted = False
        self.cancelled_at: float | None = None
        self.result: CancelResult | None = None
        self.writer = JobWriter(
            vm.store,
            VirtualClock(),
            _Announcer(site),  # type: ignore[arg-type]
            store_unreachable=lambda: False,
        )

    def spec(
        self, *steps: StepSpec, task_s: float = 1.0, job_id: str = "", times: int = 0
    ) -> JobSpec:
        """Return a job of this client, known to the site."""
        job_id = job_id or self.job_id
        spec = JobSpec(
            job_id, QUEUE, "agency", f"{task_s}/done", steps,
            VirtualClock().now().timestamp(), times,
        )  # fmt: skip
        self._site.specs[job_id] = spec
        return spec

    async def run(self, *steps: StepSpec, task_s: float, times: int = 0) -> None:
        """Submit the job; cancel it if that fails, takes long, or just so."""
        rng = self._site.rng
        spec = self.spec(*steps, task_s=task_s, times=times)
        patience_s = rng.choice((0.002, 0.01, 0.3, 5.0, 5.0))
        submitting = asyncio.create_task(self.writer.submit(spec))
        done, _ = await asyncio.wait({submitting}, timeout=patience_s)
        if done:
            self.accepted = submitting.exception() is None
        if not self.accepted or rng.random() < 0.2:
            await self._cancel()
        await asyncio.wait({submitting})
        if submitting.exception() is None:
            self.accepted = True

    async def _cancel(self) -> None:
        for _ in range(20):
            try:
                self.result = await self.writer.cancel(self.job_id, "agency")
            except (RefusedError, UnavailableError):
                await asyncio.sleep(0.3)
                continue
            self.cancelled_at = asyncio.get_running_loop().time()
            return
