"""The configuration bundle: its TOML files, validation, encoding and digest."""

from __future__ import annotations

import hashlib
import re
import tomllib
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Annotated

import msgspec

from cassiaweir.exceptions import InvalidInputError
from cassiaweir.types import Queue, Resources, Team

MAX_SHARE = 1_000_000
MAX_AMOUNT = 2**53
"""Limit for an amount of a resource; integers up to it are exact in a double."""

BUNDLE_FILE_GLOB = "*.toml"
VALIDATION_ERROR_PATTERN = re.compile(
    r"(?P<reason>.*?)(?: - at `(?:key in )?\$\.?(?P<key>.*)`)?"
)
"""Matches an error of msgspec, such as "Expected `int` >= 1 - at `$.team[0].share`"."""

EntryName = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The most that a team may run across the fleet."""

    cpu_millis: Amount
    memory_mb: Amount
    accelerators: Amount = 0


class TeamEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team; `share` is its weight when the fleet is full."""

    name: EntryName
    share: Annotated[int, msgspec.Meta(ge=1, le=MAX_SHARE)]
    limit: Limit

    def team(self) -> Team:
        """Return the entry as a `Team`, the type that other packages use."""
        limit = Resources(
            self.limit.cpu_millis, self.limit.memory_mb, self.limit.accelerators
        )
        return Team(self.name, self.share, limit)


class QueueEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A queue; an open one names the team that its work counts for."""

    name: EntryName
    open: bool = False
    team: EntryName | None = None

    def queue(self) -> Queue:
        """Return the entry as a `Queue`, the type that other packages use.

        The team is empty for a queue that is not open.
        """
        return Queue(self.name, self.open, self.team or "")


class ServiceEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service of the backend servers and the queues that admit its requests.

    A request takes the first queue unless it names another of them.  One queue is
    written as a plain name, so that bundles of earlier versions keep their digests.
    """

    name: EntryName
    queue: EntryName | Annotated[list[EntryName], msgspec.Meta(min_length=1)]

    def queues(self) -> tuple[str, ...]:
        """Return the names of the queues that admit requests, the default first."""
        if isinstance(self.queue, str):
            return (self.queue,)
        return tuple(self.queue)


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that operators configure, in one version."""

    team: list[TeamEntry] = []
    queue: list[QueueEntry] = []
    service: list[ServiceEntry] = []

    def encode(self) -> bytes:
        """Return the canonical JSON encoding.

        Entries are sorted by name and keys alphabetically, without optional white
        space, so that equal bundles have equal encodings.
        """
        return msgspec.json.encode(self._sorted(), order="sorted")

    def digest(self) -> str:
        """Return the SHA-256 of the canonical encoding in hexadecimal."""
        return hashlib.sha256(self.encode()).hexdigest()

    @classmethod
    def decode(cls, body: bytes) -> Bundle:
        """Return the validated bundle that the JSON text `body` holds.

        Raises `InvalidInputError` with key and reason.
        """
        try:
            bundle = msgspec.json.decode(body, type=cls)
        except msgspec.MsgspecError as exc:
            raise InvalidInputError(f"bundle: {_message_with_key(exc)}") from exc
        bundle.check()
        return bundle

    def check(self) -> None:
        """Check names and references across entries.

        Raises `InvalidInputError` with the key if two entries have the same name, if
        a team or queue that an entry names does not exist, if an open queue names no
        team, or if a queue that is not open names one.
        """
        _check_unique("team", (entry.name for entry in self.team))
        _check_unique("queue", (entry.name for entry in self.queue))
        _check_unique("service", (entry.name for entry in self.service))
        teams = {entry.name for entry in self.team}
        for queue in self.queue:
            _check_queue(queue, teams)
        queues = {entry.name for entry in self.queue}
        for service in self.service:
            _check_service(service, queues)

    def _sorted(self) -> Bundle:
        return Bundle(
            team=sorted(self.team, key=lambda entry: entry.name),
            queue=sorted(self.queue, key=lambda entry: entry.name),
            service=sorted(self.service, key=lambda entry: entry.name),
        )


def read_bundle(directory: Path) -> Bundle:
    """Return the validated bundle that the TOML files of `directory` make up.

    Raises `InvalidInputError` with file, key and reason.
    """
    paths = sorted(directory.glob(BUNDLE_FILE_GLOB))
    if not paths:
        raise InvalidInputError(f"{directory}: holds no {BUNDLE_FILE_GLOB} file")
    return parse_bundle({path.name: _read_file(path) for path in paths})


def parse_bundle(files: Mapping[str, str]) -> Bundle:
    """Return the validated bundle that TOML texts make up, given by file name.

    Raises `InvalidInputError` with file, key and reason.
    """
    parts = [_parse_file(name, text) for name, text in sorted(files.items())]
    bundle = Bundle(
        team=[entry for part in parts for entry in part.team],
        queue=[entry for part in parts for entry in part.queue],
        service=[entry for part in parts for entry in part.service],
    )
    try:
        bundle.check()
    except InvalidInputError as exc:
        raise InvalidInputError(f"{', '.join(sorted(files))}: {exc}") from exc
    return bundle


def _read_file(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except UnicodeDecodeError as exc:
        raise InvalidInputError(f"{path}: line 1: is not UTF-8 text") from exc
    except OSError as exc:
        raise InvalidInputError(f"{path}: cannot be read: {exc.strerror}") from exc


def _parse_file(name: str, text: str) -> Bundle:
    try:
        return msgspec.convert(tomllib.loads(text), type=Bundle)
    except tomllib.TOMLDecodeError as exc:
        raise InvalidInputError(f"{name}: is not TOML: {exc}") from exc
    except msgspec.ValidationError as exc:
        raise InvalidInputError(f"{name}: {_message_with_key(exc)}") from exc


def _message_with_key(exc: Exception) -> str:
    """Return the message of a validation error as "key: reason"."""
    match = VALIDATION_ERROR_PATTERN.fullmatch(str(exc))
    if match is None or not match["key"]:
        return str(exc)
    return f"{match['key']}: {match['reason']}"


def _check_unique(kind: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise InvalidInputError(f"{kind}.{name}: is defined twice")
        seen.add(name)


def _check_service(service: ServiceEntry, queues: set[str]) -> None:
    key = f"service.{service.name}.queue"
    queue_names = service.queues()
    for name in queue_names:
        if name not in queues:
            raise InvalidInputError(f"{key}: there is no queue {name}")
        if queue_names.count(name) > 1:
            raise InvalidInputError(f"{key}: names {name} twice")


def _check_queue(queue: QueueEntry, teams: set[str]) -> None:
    key = f"queue.{queue.name}.team"
    if queue.open and queue.team is None:
        raise InvalidInputError(f"{key}: an open queue must name a team")
    if not queue.open and queue.team is not None:
        raise InvalidInputError(
            f"{key}: a keyed queue (open = false) must not name a team, as the key of "
            "each request gives it"
        )
    if queue.team is not None and queue.team not in teams:
        raise InvalidInputError(f"{key}: there is no team {queue.team}")
