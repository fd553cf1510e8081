"""The copy that a process keeps of the bundle in force and of the API keys."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import math
from collections.abc import Mapping, Sequence
from datetime import datetime, timedelta

import msgspec

from cassiaweir.configuration._bundle import Bundle
from cassiaweir.configuration._rows import (
    BUNDLE_HEAD,
    KEY_PREFIX,
    KEYS_HEAD,
    BundleVersion,
    KeyRow,
    decode_counter,
    decode_head,
    version_key,
)
from cassiaweir.configuration._view_content import KnownKey, ViewContent
from cassiaweir.exceptions import InvalidInputError, RefusedError, UnavailableError
from cassiaweir.observe import EventLog
from cassiaweir.types import Clock, Queue, Row, Table, Team

MAX_REPORTED_AGE = timedelta(days=30)
"""Above it, the age of a view is reported as `timedelta.max`."""

OLD_VIEW_RETRY_AFTER = timedelta(seconds=1)


class TableView:
    """The bundle in force and the API keys, as read from the table or from peers.

    Implements `CellView`.  Once per `poll` it reads the two head rows, which hold the
    newest versions, and loads the bundle or the keys if theirs is higher.  A version
    lower than the installed one is never installed.

    For the bundle and for the keys, the view records the latest time at which the
    installed version is known to have been the newest.  The age of the view is the
    time since the earlier of the two.  Above `age_limit` the view admits no key, as
    the key may have been withdrawn in the meantime.
    """

    def __init__(
        self,
        table: Table,
        events: EventLog,
        clock: Clock,
        *,
        poll: timedelta,
        age_limit: timedelta,
    ) -> None:
        self._table = table
        self._events = events
        self._clock = clock
        self._poll = poll
        self._age_limit = age_limit
        self._bundle = Bundle()
        self._bundle_version = 0
        self._bundle_fresh_at = -math.inf
        self._keys: Mapping[str, KnownKey] = {}
        self._keys_version = 0
        self._keys_fresh_at = -math.inf
        self._teams: dict[str, Team] = {}
        self._queues: dict[str, Queue] = {}
        self._service_queues: dict[str, tuple[str, ...]] = {}
        self._last_uses: dict[str, datetime] = {}
        self._announced_versions = (0, 0)
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.table_reachable = False

    @property
    def bundle_version(self) -> int:
        """The version of the bundle in force; 0 before any is known."""
        return self._bundle_version

    @property
    def keys_version(self) -> int:
        """The version of the installed keys; 0 before any is known."""
        return self._keys_version

    @property
    def bundle(self) -> Bundle:
        """The bundle in force."""
        return self._bundle

    async def start(self) -> None:
        """Refresh once, even if the table is unreachable, and begin to poll."""
        await self.refresh()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop polling the table."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def age(self) -> timedelta:
        """Return the time since the view was last known to be the newest.

        It is `timedelta.max` above `MAX_REPORTED_AGE`, and while the bundle or the
        keys have never been known to be the newest.
        """
        fresh_at = min(self._bundle_fresh_at, self._keys_fresh_at)
        age_seconds = max(self._clock.monotonic() - fresh_at, 0)
        if age_seconds > MAX_REPORTED_AGE.total_seconds():
            return timedelta.max
        return timedelta(seconds=age_seconds)

    def teams(self) -> Sequence[Team]:
        """Return all teams in force."""
        return list(self._teams.values())

    def team(self, name: str) -> Team | None:
        """Return the team called `name`, or None."""
        return self._teams.get(name)

    def queue(self, name: str) -> Queue | None:
        """Return the queue called `name`, or None."""
        return self._queues.get(name)

    def service_queues(self, service: str) -> Sequence[str]:
        """Return the names of the queues that admit requests to `service`.

        The default queue comes first.  Empty if no such service is in force.
        """
        return self._service_queues.get(service, ())

    def authenticate(self, secret: str) -> str:
        """Return the team that the key `secret` belongs to.

        Raises `RefusedError`.  A key known to be withdrawn is refused with
        `key_withdrawn` even if the view is too old, as a withdrawal is final.  An
        unknown key is refused with `key_unknown` only if the view is recent enough:
        the key may have been granted since.
        """
        digest = hashlib.sha256(secret.encode()).hexdigest()
        key = self._find_key(digest)
        if key is not None and key.withdrawn:
            raise RefusedError("key_withdrawn", "the key was withdrawn")
        if self.age() > self._age_limit:
            raise RefusedError(
                "view_too_old",
                "this entry VM cannot check at present whether the key is in force",
                retry_after=OLD_VIEW_RETRY_AFTER,
            )
        if key is None:
            raise RefusedError("key_unknown", "the key is not known")
        if key.team not in self._teams:
            raise RefusedError(
                "key_unknown", "the team of the key is not in the bundle in force"
            )
        self._last_uses[digest] = self._clock.now()
        return key.team

    def take_uses(self) -> dict[str, datetime]:
        """Return when each key used since the last call was last used, by digest."""
        uses, self._last_uses = self._last_uses, {}
        return uses

    def notify_versions(self, bundle_version: int, keys_version: int) -> None:
        """Refresh at once if either version is above all known or announced ones."""
        known = self._newest_announced()
        announced = (max(bundle_version, known[0]), max(keys_version, known[1]))
        if announced != known:
            self._announced_versions = announced
            self._wake.set()

    def is_behind(self, bundle_version: int, keys_version: int) -> bool:
        """Return whether either version is above the installed one."""
        return (
            bundle_version > self._bundle_version or keys_version > self._keys_version
        )

    def confirm_versions(
        self, bundle_version: int, keys_version: int, fresh_at: float
    ) -> None:
        """Record that these versions were the newest at `fresh_at` or later.

        `fresh_at` is in seconds of the monotonic clock.  It has no effect on a part
        whose installed version is another one.
        """
        self.install(ViewContent(bundle_version, None, keys_version, None, fresh_at))

    def install(self, content: ViewContent) -> None:
        """Install the parts that are newer, and record when they were the newest.

        A part whose version is the installed one only advances that time.
        """
        if content.bundle is not None and content.bundle_version > self._bundle_version:
            self._install_bundle(content.bundle_version, content.bundle)
        if content.keys is not None and content.keys_version > self._keys_version:
            self._install_keys(content.keys_version, content.keys)
        if content.bundle_version == self._bundle_version:
            self._bundle_fresh_at = max(self._bundle_fresh_at, content.fresh_at)
        if content.keys_version == self._keys_version:
            self._keys_fresh_at = max(self._keys_fresh_at, content.fresh_at)

    def export_newer(self, bundle_version: int, keys_version: int) -> ViewContent:
        """Return the parts that are newer than the given versions, for another process.

        A part that is not newer is None.
        """
        newer_bundle = self._bundle_version > bundle_version
        newer_keys = self._keys_version > keys_version
        return ViewContent(
            self._bundle_version,
            self._bundle if newer_bundle else None,
            self._keys_version,
            self._keys if newer_keys else None,
            min(self._bundle_fresh_at, self._keys_fresh_at),
        )

    async def refresh(self) -> None:
        """Read the head rows, and install what is newer.

        If the table cannot be reached, or a row cannot be used, the view stays as it
        is.
        """
        # The age counts from the start of the read: the answer may take long, and the
        # table may change in the meantime.
        read_started_at = self._clock.monotonic()
        try:
            content = await self._load(read_started_at)
        except (UnavailableError, InvalidInputError, msgspec.MsgspecError) as exc:
            self._set_table_reachable(False, str(exc))
            return
        self._set_table_reachable(True, "")
        self.install(content)

    async def _run(self) -> None:
        while True:
            await self._wait_for_poll_or_wake()
            await self.refresh()

    async def _wait_for_poll_or_wake(self) -> None:
        """Wait for the poll interval, or until a newer version is announced."""
        waits = [
            asyncio.ensure_future(self._clock.sleep(self._poll)),
            asyncio.ensure_future(self._wake.wait()),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
        self._wake.clear()

    async def _load(self, read_started_at: float) -> ViewContent:
        rows = await self._table.read([BUNDLE_HEAD, KEYS_HEAD])
        bundle_version = decode_head(rows.get(BUNDLE_HEAD)).version
        keys_version = decode_counter(rows.get(KEYS_HEAD)).version
        bundle = None
        if bundle_version > self._bundle_version:
            bundle = await self._load_bundle(bundle_version)
        keys = None
        if keys_version > self._keys_version:
            keys = await self._load_keys()
        return ViewContent(bundle_version, bundle, keys_version, keys, read_started_at)

    async def _load_bundle(self, version: int) -> Bundle:
        key = version_key(version)
        row = (await self._table.read([key])).get(key)
        if row is None:
            raise InvalidInputError(f"{key}: no such row, although it is in force")
        content = msgspec.json.decode(row.value, type=BundleVersion)
        if content.bundle.digest() != content.digest:
            raise InvalidInputError(
                f"{key}: the content does not match the stored digest {content.digest}"
            )
        return content.bundle

    async def _load_keys(self) -> dict[str, KnownKey]:
        """Return all keys by digest.

        They may include changes made after the head row was read.
        """
        rows = await self._table.scan(KEY_PREFIX)
        return {key.digest: key for key in map(_decode_key, rows)}

    def _find_key(self, digest: str) -> KnownKey | None:
        """Return the key with `digest`, or None.

        The digests are finally compared in constant time, so that the duration does
        not reveal how much of a guess is right.
        """
        entry = self._keys.get(digest)
        if entry is None or not hmac.compare_digest(entry.digest, digest):
            return None
        return entry

    def _newest_announced(self) -> tuple[int, int]:
        """Return the highest versions of bundle and keys, installed or announced."""
        return (
            max(self._announced_versions[0], self._bundle_version),
            max(self._announced_versions[1], self._keys_version),
        )

    def _install_bundle(self, version: int, bundle: Bundle) -> None:
        self._bundle = bundle
        self._bundle_version = version
        self._teams = {entry.name: entry.team() for entry in bundle.team}
        self._queues = {entry.name: entry.queue() for entry in bundle.queue}
        self._service_queues = {entry.name: entry.queues() for entry in bundle.service}
        self._events.record("bundle_installed", f"bundle/{version}", version=version)

    def _install_keys(self, version: int, keys: Mapping[str, KnownKey]) -> None:
        self._keys = keys
        self._keys_version = version
        self._events.record("keys_installed", f"keys/{version}", version=version)

    def _set_table_reachable(self, reachable: bool, reason: str) -> None:
        if reachable != self.table_reachable:
            kind = "view_table_reachable" if reachable else "view_table_unreachable"
            self._events.record(kind, reason=reason)
        self.table_reachable = reachable


def _decode_key(row: Row) -> KnownKey:
    key = msgspec.json.decode(row.value, type=KeyRow)
    return KnownKey(row.key.removeprefix(KEY_PREFIX), key.team, key.withdrawn)
