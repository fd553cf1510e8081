"""The configuration bundle: TOML files, validated models, canonical form, digest."""

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

HIGHEST_SHARE = 1_000_000
HIGHEST_AMOUNT = 2**53
FILE_PATTERN = "*.toml"
ERROR_PATTERN = re.compile(r"(?P<reason>.*?)(?: - at `(?:key in )?\$\.?(?P<key>.*)`)?")

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Amount = Annotated[int, msgspec.Meta(ge=0, le=HIGHEST_AMOUNT)]


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The most that a team may run across the fleet."""

    cpu_millis: Amount
    memory_mb: Amount
    accelerators: Amount = 0


class TeamEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team; `share` is its weight when the fleet is full."""

    name: Name
    share: Annotated[int, msgspec.Meta(ge=1, le=HIGHEST_SHARE)]
    limit: Limit

    def team(self) -> Team:
        """Return the team as the rest of the process knows it."""
        limit = Resources(
            self.limit.cpu_millis, self.limit.memory_mb, self.limit.accelerators
        )
        return Team(self.name, self.share, limit)


class QueueEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A queue; an open one names the team that its work counts for."""

    name: Name
    open: bool = False
    team: Name | None = None

    def queue(self) -> Queue:
        """Return the queue as the rest of the process knows it."""
        return Queue(self.name, self.open, self.team or "")


class ServiceEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service of the backend servers and the queues that admit its requests.

    A request takes the first queue unless it names another of them.  One queue is
    written as a plain name, so that bundles of earlier versions keep their digests.
    """

    name: Name
    queue: Name | Annotated[list[Name], msgspec.Meta(min_length=1)]

    def queues(self) -> tuple[str, ...]:
        """Return the queues that admit requests, the default first."""
        if isinstance(self.queue, str):
            return (self.queue,)
        return tuple(self.queue)


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that operators configure, in one version."""

    team: list[TeamEntry] = []
    queue: list[QueueEntry] = []
    service: list[ServiceEntry] = []

    def encode(self) -> bytes:
        """Return the canonical encoding: sorted by name, no optional white space."""
        return msgspec.json.encode(self._sorted(), order="sorted")

    def digest(self) -> str:
        """Return the SHA-256 of the canonical encoding in hexadecimal."""
        return hashlib.sha256(self.encode()).hexdigest()

    @classmethod
    def decode(cls, body: bytes) -> Bundle:
        """Return the bundle in `body`, or raise `InvalidInputError`."""
        try:
            bundle = msgspec.json.decode(body, type=cls)
        except msgspec.MsgspecError as exc:
            raise InvalidInputError(f"bundle: {_located(exc)}") from exc
        bundle.check()
        return bundle

    def check(self) -> None:
        """Raise `InvalidInputError` naming the key where entries contradict."""
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
    """Return the checked bundle in the TOML files of `directory`.

    Raises `InvalidInputError` with file, key and reason.
    """
    paths = sorted(directory.glob(FILE_PATTERN))
    if not paths:
        raise InvalidInputError(f"{directory}: holds no {FILE_PATTERN} file")
    return parse_bundle({path.name: _read(path) for path in paths})


def parse_bundle(files: Mapping[str, str]) -> Bundle:
    """Return the checked bundle in TOML texts, by their file names.

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


def _read(path: Path) -> str:
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
        raise InvalidInputError(f"{name}: {_located(exc)}") from exc


def _located(exc: Exception) -> str:
    """Return the message of a validation error with the key in front."""
    match = ERROR_PATTERN.fullmatch(str(exc))
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
    named = service.queues()
    for name in named:
        if name not in queues:
            raise InvalidInputError(f"{key}: there is no queue {name}")
        if named.count(name) > 1:
            raise InvalidInputError(f"{key}: names {name} twice")


def _check_queue(queue: QueueEntry, teams: set[str]) -> None:
    key = f"queue.{queue.name}.team"
    if queue.open and queue.team is None:
        raise InvalidInputError(f"{key}: an open queue names the team it counts for")
    if not queue.open and queue.team is not None:
        raise InvalidInputError(f"{key}: a keyed queue takes the team from the key")
    if queue.team is not None and queue.team not in teams:
        raise InvalidInputError(f"{key}: there is no team {queue.team}")
