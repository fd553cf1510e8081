"""Messages about operators, keys, teams, queues and services."""

from __future__ import annotations

from datetime import datetime
from typing import Annotated

import msgspec

from cassiaweir.administration._messages import Amount, Change, Message, Name


class NewOperator(Change):
    """Asks for an operator with these roles."""

    name: Name
    roles: Annotated[list[str], msgspec.Meta(min_length=1, max_length=8)]


class OperatorInfo(Message):
    """An operator."""

    name: str
    roles: list[str]


class OperatorList(Message):
    """All operators, by name."""

    operators: list[OperatorInfo]


class IssuedCredential(Message):
    """A new operator's credential, which is shown this once."""

    name: str
    roles: list[str]
    credential: str


class KeyGrant(Change):
    """Asks for a key of a team."""

    team: Name


class IssuedKey(Message):
    """A new key, whose secret is shown this once."""

    team: str
    digest: str
    secret: str


class KeyInfo(Message):
    """A key as operators see it; `last_use` is null where none was noted."""

    digest: str
    team: str
    withdrawn: bool
    granted_by: str
    granted_at: str
    last_use: datetime | None = None


class KeyList(Message):
    """Keys, by digest."""

    keys: list[KeyInfo]


class WithdrawnKey(Message):
    """The digest of a key that is withdrawn."""

    digest: str


class TeamInfo(Message):
    """A team in force; `allotted` is what the shards may run for it now."""

    name: str
    share: int
    limit: Amount
    allotted: Amount
    keys: int


class TeamList(Message):
    """The teams of the bundle in force."""

    bundle_version: int
    teams: list[TeamInfo]


class QueueInfo(Message):
    """A queue in force and the services that it admits requests to."""

    name: str
    open: bool
    team: str
    services: list[str]


class QueueList(Message):
    """The queues of the bundle in force."""

    bundle_version: int
    queues: list[QueueInfo]


class ServiceInfo(Message):
    """A service in force; the first of its queues is the default."""

    name: str
    queues: list[str]
    servers: int
    slots: int


class ServiceList(Message):
    """The services of the bundle in force."""

    bundle_version: int
    services: list[ServiceInfo]
