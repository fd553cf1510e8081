"""Allotments: the part of a team's upper limit that one shard may run."""

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
    put_amount,
)
from cassiaweir.teams._amounts import (
    Amount,
    combine,
    least,
    most,
    remainder,
    round_up,
    total,
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

CHUNKS_PER_LIMIT = 16
GIVE_BACK_AFTER = timedelta(seconds=10)
LOWERING_GRACE = timedelta(seconds=10)


class Tenure(Protocol):
    """The lease under which the allotments of a shard are changed."""

    shard: str
    key: str
    version: int

    def held(self) -> bool:
        """Tell whether nobody else can have taken the shard over yet."""


@dataclass(slots=True)
class _Holding:
    """What this shard may run for a team.

    `cap` bounds new starts and is never above what the row is known to grant.
    `doubtful` is set while a write of ours may still take effect; only a later write
    of ours rules that out.
    """

    cap: Resources = NO_RESOURCES
    doubtful: bool = False
    overdrawn: bool = False
    shown: tuple[int, Resources] | None = None
    idle_since: float | None = None
    over_since: float | None = None


class ShardAllotments:
    """The allotments of one shard, moved towards demand by transactions.

    The cap is lowered before a smaller amount is written and raised after a larger
    one is known to be written.  So the sum of what all shards run stays in the limit,
    also when answers are lost and owners cannot be reached.
    """

    def __init__(
        self,
        tenure: Tenure,
        *,
        table: Table,
        view: CellView,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._tenure = tenure
        self._table = table
        self._view = view
        self._clock = clock
        self._events = events
        self._holdings: dict[str, _Holding] = {}

    def apply(self, planner: Planner, held: Mapping[str, Resources]) -> list[str]:
        """Tell the planner what each team may run, and return teams that run too much.

        `held` is what a former owner may still run for each team of the shard.
        """
        for name in held:
            self._holdings.setdefault(name, _Holding())
        for name, holding in self._holdings.items():
            team = self._view.team(name)
            share = team.share if team is not None else 1
            room = remainder(holding.cap, held.get(name, Resources()))
            if holding.shown != (share, room):
                holding.shown = (share, room)
                planner.set_team(name, share, room)
        return [name for name, state in self._holdings.items() if state.overdrawn]

    async def balance(self, planner: Planner, held: Mapping[str, Resources]) -> None:
        """Move the allotments of all teams of the shard towards their demand.

        Raises `UnavailableError`; what was not settled is tried again next time.
        """
        if not self._tenure.held():
            return
        # The view may change during the read: these limits are of this version.
        version = self._view.bundle_version
        teams = [
            team
            for team in self._view.teams()
            if team.name in held or team.name in self._holdings
        ]
        rows = await self._table.read([allotment_key(team.name) for team in teams])
        for team in teams:
            row = rows.get(allotment_key(team.name))
            holding = self._holdings.setdefault(team.name, _Holding())
            hidden = held.get(team.name, Resources())
            allocated = planner.allocated(team.name) + hidden
            demand = most(planner.demand(team.name) + hidden, allocated)
            state = current_allotment(team, row, version)
            await self._balance_team(team, holding, row, state, allocated, demand)

    async def _balance_team(
        self,
        team: Team,
        holding: _Holding,
        row: Row | None,
        state: AllotmentRow,
        allocated: Resources,
        demand: Resources,
    ) -> None:
        own = state.amounts.get(self._tenure.shard, Amount()).resources()
        amount = self._target(state, holding, own, allocated, demand)
        want = round_up(demand, _chunk(state.limit.resources()))
        changed = self._changed(state, amount, want)
        unchanged = row is not None and changed == decode_allotment(row)
        if unchanged and not holding.doubtful:
            self._grant(holding, own)
            return
        # Until the outcome is known only the smaller amount may be used.
        holding.cap = least(least(holding.cap, own), amount)
        version = row.version if row is not None else 0
        checks = [
            Check(allotment_key(team.name), version),
            Check(self._tenure.key, self._tenure.version),
        ]
        write = Write(allotment_key(team.name), msgspec.json.encode(changed))
        try:
            await self._table.commit(checks, [write])
        except ConflictError:
            return
        except UnavailableError:
            holding.doubtful = True
            raise
        holding.doubtful = False
        self._grant(holding, amount)
        if amount != own:
            self._record(team, amount)

    def _target(
        self,
        state: AllotmentRow,
        holding: _Holding,
        own: Resources,
        allocated: Resources,
        demand: Resources,
    ) -> Resources:
        """Return the amount that this shard should have, at least what it runs."""
        limit = state.limit.resources()
        others = total(
            amount.resources()
            for shard, amount in state.amounts.items()
            if shard != self._tenure.shard
        )
        room = remainder(limit, others)
        fair = self._fair_share(state, demand, own)
        wanted = least(round_up(demand, _chunk(limit)), fair)
        self._note_lowering(holding, limit, others + own, fair, room, allocated)
        if holding.overdrawn:
            return allocated
        if not wanted.fits(own):
            grown = least(most(own, wanted), most(room, allocated))
            return most(least(grown, fair), allocated)
        return self._give_back(holding, own, most(least(wanted, room), allocated), fair)

    def _give_back(
        self, holding: _Holding, own: Resources, needed: Resources, fair: Resources
    ) -> Resources:
        """Return `needed` once it was enough for a while, or others lack the rest."""
        if not own.fits(fair):
            return needed
        if own == needed:
            holding.idle_since = None
            return own
        now = self._clock.monotonic()
        if holding.idle_since is None:
            holding.idle_since = now
        if now - holding.idle_since < GIVE_BACK_AFTER.total_seconds():
            return own
        holding.idle_since = None
        return needed

    def _fair_share(
        self, state: AllotmentRow, demand: Resources, own: Resources
    ) -> Resources:
        """Return what demand entitles this shard to where the limit is scarce."""
        limit = state.limit.resources()
        mine = round_up(demand, _chunk(limit))
        wants = total(
            most(amount.resources(), state.amounts.get(shard, Amount()).resources())
            if self._over(state)
            else amount.resources()
            for shard, amount in state.wants.items()
            if shard != self._tenure.shard
        )
        if self._over(state):
            mine = most(mine, own)
        return combine(_proportion, limit, mine, mine + wants)

    def _note_lowering(
        self,
        holding: _Holding,
        limit: Resources,
        granted: Resources,
        fair: Resources,
        room: Resources,
        allocated: Resources,
    ) -> None:
        """Decide whether tasks have to be stopped after the limit was lowered.

        At first each shard goes down to its share; where that does not suffice, as an
        owner cannot be reached, the others make room for what it holds.
        """
        if granted.fits(limit):
            holding.over_since = None
            holding.overdrawn = False
            return
        now = self._clock.monotonic()
        if holding.over_since is None:
            holding.over_since = now
        late = now - holding.over_since >= LOWERING_GRACE.total_seconds()
        holding.cap = least(holding.cap, least(fair, room) if late else fair)
        holding.overdrawn = not allocated.fits(holding.cap)

    def _over(self, state: AllotmentRow) -> bool:
        granted = total(amount.resources() for amount in state.amounts.values())
        return not granted.fits(state.limit.resources())

    def _grant(self, holding: _Holding, amount: Resources) -> None:
        """Use `amount`, which the row is known to grant."""
        if holding.over_since is None:
            holding.cap = amount
        else:
            holding.cap = least(holding.cap, amount)

    def _changed(
        self, state: AllotmentRow, amount: Resources, want: Resources
    ) -> AllotmentRow:
        shard = self._tenure.shard
        amounts = dict(state.amounts)
        wants = dict(state.wants)
        put_amount(amounts, shard, amount)
        put_amount(wants, shard, want)
        return msgspec.structs.replace(state, amounts=amounts, wants=wants)

    def _record(self, team: Team, amount: Resources) -> None:
        self._events.record(
            "allotment_changed",
            team.name,
            shard=self._tenure.shard,
            cpu_millis=amount.cpu_millis,
            memory_mb=amount.memory_mb,
            accelerators=amount.accelerators,
        )


def _chunk(limit: Resources) -> Resources:
    return combine(lambda value: -(-value // CHUNKS_PER_LIMIT), limit)


def _proportion(limit: int, mine: int, everything: int) -> int:
    """Return the part of `limit` due to `mine`, or all of it where there is enough."""
    return limit if everything <= limit else limit * mine // everything
