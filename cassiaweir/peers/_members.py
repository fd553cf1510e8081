"""The registry of entry VMs in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from datetime import timedelta

import msgspec
from loguru import logger

from cassiaweir.background import BackgroundTasks
from cassiaweir.exceptions import UnavailableError
from cassiaweir.feeds import TableWatch
from cassiaweir.types import Clock, Row, Table, Write

MEMBERS_PREFIX = "nodes//"
RETRY_DELAY = timedelta(milliseconds=300)
REMOVAL_TIMEOUT = timedelta(milliseconds=400)
"""A stopping process waits this long for the store to remove its row."""


class _MemberRow(msgspec.Struct, frozen=True):
    """The process on an entry VM, as stored under the name of the VM.

    `knows_refusals` says that its build knows refusal rows.  Older builds take such a
    row for a stored job and would answer that the job was accepted.
    `knows_long_leases` says that it waits, as a leader's successor, for the long leases
    that rows of servers tell of.
    """

    instance: str
    address: str
    cores: float = 0.0
    knows_refusals: bool = False
    knows_long_leases: bool = False


class Members:
    """Registers this process and lists the addresses of the other entry VMs.

    `watch` follows the registry.  `seeds` are configured addresses, which may be stale.
    `cores` is the number of CPU cores of this VM.
    """

    def __init__(
        self,
        table: Table,
        watch: TableWatch,
        clock: Clock,
        *,
        node: str,
        instance: str,
        address: str,
        seeds: Sequence[str],
        cores: float,
    ) -> None:
        self._table = table
        self._watch = watch
        self._clock = clock
        self._key = f"{MEMBERS_PREFIX}{node}"
        self._own_row = _MemberRow(
            instance, address, cores, knows_refusals=True, knows_long_leases=True
        )
        self._seeds = [seed for seed in seeds if seed != address]
        self._background = BackgroundTasks()
        self._builds_checked_at = 0
        self._all_know_refusals = False
        self._all_know_long_leases = False

    async def start(self) -> None:
        """Register this process in the background, retrying until it succeeds."""
        self._background.start(self._register)

    async def stop(self) -> None:
        """Remove this process from the registry."""
        await self._background.stop()
        try:
            async with asyncio.timeout(REMOVAL_TIMEOUT.total_seconds()):
                await self._table.commit([], [Write(self._key, None)])
        except (UnavailableError, TimeoutError) as exc:
            logger.info("member_not_removed", cause=str(exc) or "timed out")

    def addresses(self) -> list[str]:
        """Return the addresses of the other entry VMs, registered ones before seeds."""
        registered = [member.address for member in self._other_members()]
        return registered + [seed for seed in self._seeds if seed not in registered]

    def cores_by_address(self) -> dict[str, float]:
        """Return the core counts of the other registered VMs by peer address."""
        return {member.address: member.cores for member in self._other_members()}

    def all_know_refusals(self) -> bool:
        """Return whether the builds of all registered VMs know refusal rows."""
        return self._check_builds() and self._all_know_refusals

    def all_know_long_leases(self) -> bool:
        """Return whether those builds know rows of servers that allow long leases."""
        return self._check_builds() and self._all_know_long_leases

    def _check_builds(self) -> bool:
        """Read what the builds of the other VMs know; return whether that is known.

        The rows are decoded again only once the watch has advanced, as this is asked
        for each submission while the servers are full.
        """
        version = self._watch.version
        if version != self._builds_checked_at:
            self._builds_checked_at = version
            others = self._other_members()
            self._all_know_refusals = all(each.knows_refusals for each in others)
            self._all_know_long_leases = all(each.knows_long_leases for each in others)
        return version > 0

    def _other_members(self) -> list[_MemberRow]:
        members = [
            _decode_member(row)
            for key, row in sorted(self._watch.rows.items())
            if key != self._key
        ]
        return [member for member in members if member is not None]

    async def _register(self) -> None:
        write = Write(self._key, msgspec.json.encode(self._own_row))
        while True:
            try:
                await self._table.commit([], [write])
                return
            except UnavailableError as exc:
                logger.info("member_not_registered", cause=str(exc))
                await self._clock.sleep(RETRY_DELAY)


def registered_instance(row: Row) -> str | None:
    """Return the instance of the process in a member row, None if it is unreadable."""
    member = _decode_member(row)
    return None if member is None else member.instance


def _decode_member(row: Row) -> _MemberRow | None:
    try:
        return msgspec.json.decode(row.value, type=_MemberRow)
    except (msgspec.DecodeError, RecursionError):
        return None
