"""Route for callers' requests to services: POST /v1/requests/<service>."""

from __future__ import annotations

import re
import secrets
from datetime import timedelta

from sanic import Blueprint, HTTPResponse, Request

from cassiaweir.api._access import read_service_team
from cassiaweir.exceptions import InvalidInputError
from cassiaweir.requests import Router, ServiceAnswer, ServiceRequest
from cassiaweir.types import CellView, Clock, Urgency

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
DEADLINE_PATTERN = re.compile(r"[1-9][0-9]{0,8}")
BOOLEAN_VALUES = {"true": True, "false": False}
REQUEST_ID_BYTES = 12
DEFAULT_CONTENT_TYPE = "application/octet-stream"
FORWARDED_HEADERS = ("accept", "accept-language", "traceparent")
FORWARDED_HEADER_PREFIX = "x-"


class RequestApi:
    """Validates callers' requests and passes them to the router.

    `max_request_time` limits the deadline that a caller can set, and is the default.
    """

    def __init__(
        self,
        view: CellView,
        router: Router,
        *,
        max_request_time: timedelta,
        clock: Clock,
    ) -> None:
        self._view = view
        self._router = router
        self._max_request_time = max_request_time
        self._clock = clock

    def blueprint(self) -> Blueprint:
        """Return the blueprint with this route."""
        routes = Blueprint("requests", url_prefix="/v1/requests")
        routes.add_route(
            self.handle_request, "/<service:str>", methods=["POST"], name="post"
        )
        return routes

    async def handle_request(self, request: Request, service: str) -> HTTPResponse:
        """Respond with the status and the complete body from the backend server."""
        req = self._read_request(request, service)
        return _build_response(await self._router.route(req), req)

    def _read_request(self, request: Request, service: str) -> ServiceRequest:
        """Return the validated request.

        Raises `InvalidInputError` for a malformed request, and `RefusedError` where
        the caller may not use the service.
        """
        if not NAME_PATTERN.fullmatch(service):
            raise InvalidInputError(
                "service: expected up to 63 characters of a-z, 0-9, '.', '_' and '-', "
                "starting with a letter or a digit"
            )
        team = read_service_team(request, self._view, service)
        idempotent = _read_flag(request, "Cassiaweir-Idempotent")
        return ServiceRequest(
            request_id=secrets.token_hex(REQUEST_ID_BYTES),
            service=service,
            team=team,
            body=request.body,
            deadline=self._clock.monotonic() + self._read_time_limit(request),
            urgency=_read_urgency(request),
            idempotent=idempotent,
            idempotency_key=_read_idempotency_key(request, required=not idempotent),
            content_type=request.headers.get("Content-Type", DEFAULT_CONTENT_TYPE),
            headers=_forwarded_headers(request),
        )

    def _read_time_limit(self, request: Request) -> float:
        """Return the time in seconds that the request may take."""
        max_request_time = self._max_request_time.total_seconds()
        value = request.headers.get("Cassiaweir-Deadline-Ms")
        if value is None:
            return max_request_time
        if not DEADLINE_PATTERN.fullmatch(value):
            raise InvalidInputError(
                "Cassiaweir-Deadline-Ms: expected a positive number of milliseconds"
            )
        return min(max_request_time, int(value) / 1000)


def _forwarded_headers(request: Request) -> dict[str, str]:
    """Return the caller's headers that are passed unchanged to the backend server."""
    return {
        name: value
        for name, value in request.headers.items()
        if name.lower() in FORWARDED_HEADERS
        or name.lower().startswith(FORWARDED_HEADER_PREFIX)
    }


def _read_flag(request: Request, name: str) -> bool:
    value = request.headers.get(name, "false")
    if value not in BOOLEAN_VALUES:
        raise InvalidInputError(f"{name}: expected 'true' or 'false'")
    return BOOLEAN_VALUES[value]


def _read_urgency(request: Request) -> Urgency:
    value = request.headers.get("Cassiaweir-Urgency", Urgency.NORMAL)
    try:
        return Urgency(value)
    except ValueError as exc:
        raise InvalidInputError(
            "Cassiaweir-Urgency: expected 'urgent' or 'normal'"
        ) from exc


def _read_idempotency_key(request: Request, *, required: bool) -> str:
    value = request.headers.get("Idempotency-Key", "")
    if not value and not required:
        return ""
    if not IDEMPOTENCY_KEY_PATTERN.fullmatch(value):
        raise InvalidInputError(
            "Idempotency-Key: expected up to 128 letters, digits, '.', '_', ':' or "
            "'-', starting with a letter or a digit; the header is required unless "
            "Cassiaweir-Idempotent is true"
        )
    return value


def _build_response(answer: ServiceAnswer, req: ServiceRequest) -> HTTPResponse:
    headers = {"Cassiaweir-Request-Id": req.request_id}
    if answer.repeated:
        headers["Cassiaweir-Repeated"] = "true"
    headers.update(answer.headers)
    content_type = headers.pop("Content-Type", None)
    return HTTPResponse(
        answer.body, status=answer.status, headers=headers, content_type=content_type
    )
