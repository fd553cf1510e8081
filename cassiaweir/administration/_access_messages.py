"""Messages about operators, API keys, teams, queues and services."""

from __future__ import annotations

from datetime import datetime
from typing import Annotated

import msgspec

from cassiaweir.administration._messages import (
    Amount,
    Name,
    RequestMessage,
    ResponseMessage,
)


class NewOperator(RequestMessage):
    """A request to add an operator with these roles."""

    name: Name
    roles: Annotated[list[str], msgspec.Meta(min_length=1, max_length=8)]


class OperatorInfo(ResponseMessage):
    """The name and the roles of an operator."""

    name: str
    roles: list[str]


class OperatorList(ResponseMessage):
    """All operators, in the order of their names."""

    operators: list[OperatorInfo]


class IssuedCredential(ResponseMessage):
    """A new operator and its credential, which cannot be read again later."""

    name: str
    roles: list[str]
    credential: str


class KeyGrant(RequestMessage):
    """A request for a new API key of a team."""

    team: Name


class IssuedKey(ResponseMessage):
    """A new API key; its secret cannot be read again later."""

    team: str
    digest: str
    secret: str


class KeyInfo(ResponseMessage):
    """An API key without its secret; `last_use` is null if no use was recorded."""

    digest: str
    team: str
    withdrawn: bool
    granted_by: str
    granted_at: str
    last_use: datetime | None = None


class KeyList(ResponseMessage):
    """API keys, in the order of their digests."""

    keys: list[KeyInfo]


class WithdrawnKey(ResponseMessage):
    """The digest of an API key that has been withdrawn."""

    digest: str


class TeamInfo(ResponseMessage):
    """A team of the bundle in force.

    `allotted` is the sum of what the shards may run for the team at present.  `keys`
    is the number of its API keys that are not withdrawn.
    """

    name: str
    share: int
    limit: Amount
    allotted: Amount
    keys: int


class TeamList(ResponseMessage):
    """The teams of the bundle in force."""

    bundle_version: int
    teams: list[TeamInfo]


class QueueInfo(ResponseMessage):
    """A queue of the bundle in force and the services that accept requests from it."""

    name: str
    open: bool
    team: str
    services: list[str]


class QueueList(ResponseMessage):
    """The queues of the bundle in force."""

    bundle_version: int
    queues: list[QueueInfo]


class ServiceInfo(ResponseMessage):
    """A service of the bundle in force; the first of its queues is the default.

    `servers` is the number of its backend servers in the platform's list of VMs, and
    `slots` is the sum of their slots.
    """

    name: str
    queues: list[str]
    servers: int
    slots: int


class ServiceList(ResponseMessage):
    """The services of the bundle in force."""

    bundle_version: int
    services: list[ServiceInfo]
