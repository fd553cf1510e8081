"""The table row that stores how a team's limit is allotted to the shards."""

from __future__ import annotations

import msgspec

from cassiaweir.teams._amounts import Amount
from cassiaweir.types import Resources, Row, Team


class AllotmentRow(msgspec.Struct, frozen=True):
    """The row `allot/<team>`.

    `limit` is the team's limit in version `bundle_version` of the bundle.  `amounts`
    holds what each shard may run.  Their sum exceeds `limit` only after the limit was
    lowered, until the tasks above it have stopped.  `wants` holds the demand of each
    shard, rounded up.
    """

    bundle_version: int
    limit: Amount
    amounts: dict[str, Amount] = {}
    wants: dict[str, Amount] = {}


def allotment_key(team: str) -> str:
    """Return the key of the allotment row of `team`."""
    return f"allot/{team}"


def decode_allotment(row: Row) -> AllotmentRow:
    """Decode the allotments stored in `row`."""
    return msgspec.json.decode(row.value, type=AllotmentRow)


def set_amount(amounts: dict[str, Amount], shard: str, amount: Resources) -> None:
    """Set the amount of `shard`, or remove its entry if `amount` is zero."""
    if amount == Resources():
        amounts.pop(shard, None)
    else:
        amounts[shard] = Amount.of(amount)


def current_allotment(team: Team, row: Row | None, version: int) -> AllotmentRow:
    """Return the allotments in `row` with the newer of its limit and the team's.

    `version` is the version of the bundle that the limit of `team` comes from.
    """
    limit = Amount.of(team.limit)
    if row is None:
        return AllotmentRow(version, limit)
    state = decode_allotment(row)
    if version > state.bundle_version:
        return msgspec.structs.replace(state, bundle_version=version, limit=limit)
    return state
