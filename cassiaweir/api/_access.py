"""Determines the team that a caller's request is charged to."""

from __future__ import annotations

from sanic import Request

from cassiaweir.exceptions import RefusedError
from cassiaweir.types import CellView

BEARER = "Bearer "


def read_bearer(request: Request) -> str:
    """Return the key in the Authorization header, or raise `RefusedError`."""
    header = request.headers.get("Authorization", "")
    secret = header.removeprefix(BEARER)
    if secret == header or not secret:
        raise RefusedError("key_missing", "expected 'Authorization: Bearer <key>'")
    return secret


def read_team(request: Request, view: CellView) -> str:
    """Return the team that owns the key.

    Raises `RefusedError` where the `Cassiaweir-Team` header names another team.
    """
    team = view.authenticate(read_bearer(request))
    if request.headers.get("Cassiaweir-Team", team) != team:
        raise RefusedError(
            "other_team",
            "the key does not belong to the team that Cassiaweir-Team names",
        )
    return team


def read_service_team(request: Request, view: CellView, service: str) -> str:
    """Return the team that a request to `service` is charged to.

    `Cassiaweir-Queue` selects one of the queues that admit requests to the service.
    Any other queue is refused, as otherwise a single open queue would give access to
    every service without a key.
    """
    queues = view.service_queues(service)
    name = request.headers.get("Cassiaweir-Queue", queues[0] if queues else "")
    if name in queues:
        return read_queue_team(request, view, name)
    read_team(request, view)
    if not queues:
        raise RefusedError("service_unknown", f"there is no service {service!r}")
    raise RefusedError(
        "queue_unknown", f"no queue {name!r} admits requests to {service!r}"
    )


def read_queue_team(request: Request, view: CellView, name: str) -> str:
    """Return the team that work in the queue `name` is charged to.

    An open queue needs no key.  For any other name the key is checked before an
    unknown queue is reported, so that a caller without a valid key cannot find out
    which queues exist.
    """
    queue = view.queue(name)
    if queue is not None and queue.open:
        return queue.team
    team = read_team(request, view)
    if queue is None:
        raise RefusedError("queue_unknown", f"there is no queue {name!r}")
    return team
