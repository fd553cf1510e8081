"""Allotments: the part of a team's limit that one shard may run."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

import msgspec

from cassiaweir.exceptions import ConflictError, UnavailableError
from cassiaweir.observe import EventLog
from cassiaweir.placement import Planner
from cassiaweir.teams._allotment_row import (
    AllotmentRow,
    allotment_key,
    current_allotment,
    decode_allotment,
    set_amount,
)
from cassiaweir.teams._amounts import (
    Amount,
    combine,
    elementwise_max,
    elementwise_min,
    round_up_to_multiple,
    subtract_to_zero,
    sum_resources,
)
from cassiaweir.types import (
    NO_RESOURCES,
    CellView,
    Check,
    Clock,
    Resources,
    Row,
    Table,
    Team,
    Write,
)

# A team's limit is divided into this many chunks, and demand is rounded up to them.
CHUNKS_PER_LIMIT = 16
# How long a surplus has to last before the shard releases it.
RELEASE_DELAY = timedelta(seconds=10)
# How long after a reduction of the limit each shard may keep its fair share before it
# also makes room for what the other shards still hold.
LIMIT_REDUCTION_GRACE = timedelta(seconds=10)


class ShardLease(Protocol):
    """The lease of a shard, which each change of its allotments requires.

    `key` and `version` are those of the lease's row.
    """

    shard: str
    key: str
    version: int

    def held(self) -> bool:
        """Return whether no other process can have taken over the shard yet."""


@dataclass(slots=True)
class _TeamAllotment:
    """What this shard may run for a team.

    `cap` bounds new starts and never exceeds what the row is known to grant.
    `write_in_doubt` is set while an earlier write of this shard may still take effect,
    which only a later write of this shard rules out.  `over_cap` is set while tasks
    have to be stopped as the limit was lowered.  `last_set` holds the share and the
    allotment that the planner was given last.  `surplus_since` and
    `limit_exceeded_since` are monotonic times in seconds.
    """

    cap: Resources = NO_RESOURCES
    write_in_doubt: bool = False
    over_cap: bool = False
    last_set: tuple[int, Resources] | None = None
    surplus_since: float | None = None
    limit_exceeded_since: float | None = None


class ShardAllotments:
    """Adapts the allotments of one shard to its demand by transactions.

    The cap is lowered before a smaller amount is written, and raised only after a
    larger one is known to be written.  So the sum of what all shards run stays within
    the limit even when answers are lost or owners cannot be reached.
    """

    def __init__(
        self,
        lease: ShardLease,
        *,
        table: Table,
        view: CellView,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._lease = lease
        self._table = table
        self._view = view
        self._clock = clock
        self._events = events
        self._allotments: dict[str, _TeamAllotment] = {}

    def apply(self, planner: Planner, held: Mapping[str, Resources]) -> list[str]:
        """Set the caps of all teams in the planner; return the teams over their cap.

        `held` maps each team of the shard to what a former owner may still run for it.
        """
        for name in held:
            self._allotments.setdefault(name, _TeamAllotment())
        for name, allotment in self._allotments.items():
            team = self._view.team(name)
            share = team.share if team is not None else 1
            available = subtract_to_zero(allotment.cap, held.get(name, Resources()))
            if allotment.last_set != (share, available):
                allotment.last_set = (share, available)
                planner.set_team(name, share, available)
        return [name for name, state in self._allotments.items() if state.over_cap]

    async def balance(self, planner: Planner, held: Mapping[str, Resources]) -> None:
        """Adapt the allotments of all teams of the shard to their demand.

        `held` maps each team of the shard to what a former owner may still run for it.
        Raises `UnavailableError`; the next call tries again what was not written.
        """
        if not self._lease.held():
            return
        # The view may change during the read, so version and limits are taken before.
        version = self._view.bundle_version
        teams = [
            team
            for team in self._view.teams()
            if team.name in held or team.name in self._allotments
        ]
        rows = await self._table.read([allotment_key(team.name) for team in teams])
        for team in teams:
            row = rows.get(allotment_key(team.name))
            allotment = self._allotments.setdefault(team.name, _TeamAllotment())
            inherited = held.get(team.name, Resources())
            allocated = planner.allocated(team.name) + inherited
            demand = elementwise_max(planner.demand(team.name) + inherited, allocated)
            state = current_allotment(team, row, version)
            await self._balance_team(team, allotment, row, state, allocated, demand)

    async def _balance_team(
        self,
        team: Team,
        allotment: _TeamAllotment,
        row: Row | None,
        state: AllotmentRow,
        allocated: Resources,
        demand: Resources,
    ) -> None:
        current = state.amounts.get(self._lease.shard, Amount()).resources()
        amount = self._target_amount(state, allotment, current, allocated, demand)
        want = round_up_to_multiple(demand, _chunk(state.limit.resources()))
        changed = self._updated_row(state, amount, want)
        unchanged = row is not None and changed == decode_allotment(row)
        if unchanged and not allotment.write_in_doubt:
            self._use_amount(allotment, current)
            return
        # Only the smaller amount may be used until the outcome of the write is known.
        allotment.cap = elementwise_min(elementwise_min(allotment.cap, current), amount)
        version = row.version if row is not None else 0
        checks = [
            Check(allotment_key(team.name), version),
            Check(self._lease.key, self._lease.version),
        ]
        write = Write(allotment_key(team.name), msgspec.json.encode(changed))
        try:
            await self._table.commit(checks, [write])
        except ConflictError:
            return
        except UnavailableError:
            allotment.write_in_doubt = True
            raise
        allotment.write_in_doubt = False
        self._use_amount(allotment, amount)
        if amount != current:
            self._record_change(team, amount)

    def _target_amount(
        self,
        state: AllotmentRow,
        allotment: _TeamAllotment,
        current: Resources,
        allocated: Resources,
        demand: Resources,
    ) -> Resources:
        """Return the amount to allot to this shard, which is at least what it runs."""
        limit = state.limit.resources()
        allotted_elsewhere = sum_resources(
            amount.resources()
            for shard, amount in state.amounts.items()
            if shard != self._lease.shard
        )
        available = subtract_to_zero(limit, allotted_elsewhere)
        fair_share = self._fair_share(state, demand, current)
        wanted = elementwise_min(
            round_up_to_multiple(demand, _chunk(limit)), fair_share
        )
        self._enforce_lowered_limit(
            allotment,
            limit,
            allotted_elsewhere + current,
            fair_share,
            available,
            allocated,
        )
        if allotment.over_cap:
            return allocated
        if not wanted.fits(current):
            grown = elementwise_min(
                elementwise_max(current, wanted), elementwise_max(available, allocated)
            )
            return elementwise_max(elementwise_min(grown, fair_share), allocated)
        return self._release_surplus(
            allotment,
            current,
            elementwise_max(elementwise_min(wanted, available), allocated),
            fair_share,
        )

    def _release_surplus(
        self,
        allotment: _TeamAllotment,
        current: Resources,
        needed: Resources,
        fair_share: Resources,
    ) -> Resources:
        """Return `needed` to release the surplus, or `current` to keep it for now.

        The surplus is released after `RELEASE_DELAY`, or at once where `current`
        exceeds the fair share, as other shards then need the rest.
        """
        if not current.fits(fair_share):
            return needed
        if current == needed:
            allotment.surplus_since = None
            return current
        now = self._clock.monotonic()
        if allotment.surplus_since is None:
            allotment.surplus_since = now
        if now - allotment.surplus_since < RELEASE_DELAY.total_seconds():
            return current
        allotment.surplus_since = None
        return needed

    def _fair_share(
        self, state: AllotmentRow, demand: Resources, current: Resources
    ) -> Resources:
        """Return this shard's part of the limit, in proportion to its demand.

        It is the whole limit while the demand of all shards fits.  While the allotted
        amounts exceed the limit, what a shard has been allotted counts as demand too.
        """
        limit = state.limit.resources()
        own_demand = round_up_to_multiple(demand, _chunk(limit))
        wants = sum_resources(
            elementwise_max(
                amount.resources(), state.amounts.get(shard, Amount()).resources()
            )
            if self._exceeds_limit(state)
            else amount.resources()
            for shard, amount in state.wants.items()
            if shard != self._lease.shard
        )
        if self._exceeds_limit(state):
            own_demand = elementwise_max(own_demand, current)
        return combine(_proportional_part, limit, own_demand, own_demand + wants)

    def _enforce_lowered_limit(
        self,
        allotment: _TeamAllotment,
        limit: Resources,
        total_allotted: Resources,
        fair_share: Resources,
        available: Resources,
        allocated: Resources,
    ) -> None:
        """Lower the cap while more than the limit is allotted, and set `over_cap`.

        During the grace period each shard goes down to its fair share.  After it an
        owner may be unreachable, so the others also make room for what it holds.
        """
        if total_allotted.fits(limit):
            allotment.limit_exceeded_since = None
            allotment.over_cap = False
            return
        now = self._clock.monotonic()
        if allotment.limit_exceeded_since is None:
            allotment.limit_exceeded_since = now
        grace_expired = (
            now - allotment.limit_exceeded_since
            >= LIMIT_REDUCTION_GRACE.total_seconds()
        )
        allotment.cap = elementwise_min(
            allotment.cap,
            elementwise_min(fair_share, available) if grace_expired else fair_share,
        )
        allotment.over_cap = not allocated.fits(allotment.cap)

    def _exceeds_limit(self, state: AllotmentRow) -> bool:
        total_allotted = sum_resources(
            amount.resources() for amount in state.amounts.values()
        )
        return not total_allotted.fits(state.limit.resources())

    def _use_amount(self, allotment: _TeamAllotment, amount: Resources) -> None:
        """Set the cap to `amount`, which the row is known to grant.

        While more than the limit is allotted, the cap is not raised.
        """
        if allotment.limit_exceeded_since is None:
            allotment.cap = amount
        else:
            allotment.cap = elementwise_min(allotment.cap, amount)

    def _updated_row(
        self, state: AllotmentRow, amount: Resources, want: Resources
    ) -> AllotmentRow:
        shard = self._lease.shard
        amounts = dict(state.amounts)
        wants = dict(state.wants)
        set_amount(amounts, shard, amount)
        set_amount(wants, shard, want)
        return msgspec.structs.replace(state, amounts=amounts, wants=wants)

    def _record_change(self, team: Team, amount: Resources) -> None:
        self._events.record(
            "allotment_changed",
            team.name,
            shard=self._lease.shard,
            cpu_millis=amount.cpu_millis,
            memory_mb=amount.memory_mb,
            accelerators=amount.accelerators,
        )


def _chunk(limit: Resources) -> Resources:
    return combine(lambda value: -(-value // CHUNKS_PER_LIMIT), limit)


def _proportional_part(limit: int, own_demand: int, total_demand: int) -> int:
    """Return the part of `limit` in proportion to `own_demand`.

    It is all of `limit` where that covers `total_demand`.
    """
    return limit if total_demand <= limit else limit * own_demand // total_demand
