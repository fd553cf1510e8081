"""The row that keeps the allotments of a team."""

from __future__ import annotations

import msgspec

from cassiaweir.teams._amounts import Amount
from cassiaweir.types import Resources, Row, Team


class AllotmentRow(msgspec.Struct, frozen=True):
    """The row `allot/<team>`.

    `limit` is that of bundle `bundle_version`.  `amounts` is what each shard may run;
    their sum never passes `limit`, but for what still runs after a lowering.  `wants`
    is what each shard would run.
    """

    bundle_version: int
    limit: Amount
    amounts: dict[str, Amount] = {}
    wants: dict[str, Amount] = {}


def allotment_key(team: str) -> str:
    """Return the key of the row of a team."""
    return f"allot/{team}"


def decode_allotment(row: Row) -> AllotmentRow:
    """Return the allotments in `row`."""
    return msgspec.json.decode(row.value, type=AllotmentRow)


def put_amount(amounts: dict[str, Amount], shard: str, amount: Resources) -> None:
    """Set the amount of a shard; nothing is left out of the row."""
    if amount == Resources():
        amounts.pop(shard, None)
    else:
        amounts[shard] = Amount.of(amount)


def current_allotment(team: Team, row: Row | None, version: int) -> AllotmentRow:
    """Return the row under the newest limit that is known.

    `version` is that of the bundle which the limit of `team` comes from.
    """
    limit = Amount.of(team.limit)
    if row is None:
        return AllotmentRow(version, limit)
    state = decode_allotment(row)
    if version > state.bundle_version:
        return msgspec.structs.replace(state, bundle_version=version, limit=limit)
    return state
