"""Routes for callers' jobs: /v1/jobs."""

from __future__ import annotations

from typing import Protocol

import msgspec
from sanic import Blueprint, HTTPResponse, Request

from cassiaweir.api._access import read_queue_team, read_team
from cassiaweir.exceptions import InvalidInputError, NotFoundError
from cassiaweir.types import CellView
from cassiaweir.work import JobPage, JobRow, JobSpec, JobStatus

JSON = "application/json"
DEFAULT_PAGE_SIZE = 100
MAX_PAGE_SIZE = 1000


class JobOperations(Protocol):
    """The operations on jobs that the routes call."""

    async def submit(self, spec: JobSpec, team: str) -> JobRow:
        """Commit a job, or return the same job where it was committed before."""

    async def status(self, job: str) -> JobStatus:
        """Return the state of a job, or raise `NotFoundError`."""

    async def cancel(self, job: str) -> JobRow:
        """Cancel a job, or raise `NotFoundError`."""

    async def list(
        self, prefix: str, *, after: str = "", limit: int = DEFAULT_PAGE_SIZE
    ) -> JobPage:
        """Return up to `limit` jobs, ordered by name.

        Their names start with `prefix` and sort after `after`.
        """


class JobApi:
    """Authenticates callers and serves their jobs.

    A team can see and cancel only its own jobs.
    """

    def __init__(self, view: CellView, jobs: JobOperations) -> None:
        self._view = view
        self._jobs = jobs

    def blueprint(self) -> Blueprint:
        """Return the blueprint with these routes."""
        routes = Blueprint("jobs", url_prefix="/v1/jobs")
        routes.add_route(self.submit, "/", methods=["POST"], name="submit")
        routes.add_route(self.list, "/", methods=["GET"], name="list")
        routes.add_route(self.show, "/<job:str>", methods=["GET"], name="show")
        routes.add_route(self.cancel, "/<job:str>", methods=["DELETE"], name="cancel")
        return routes

    async def submit(self, request: Request) -> HTTPResponse:
        """Respond 201 with the committed job; a repeated call gets the same job."""
        spec = _decode_spec(request.body)
        team = read_queue_team(request, self._view, spec.queue)
        row = await self._jobs.submit(spec, team)
        return _json_response(row, status=201)

    async def show(self, request: Request, job: str) -> HTTPResponse:
        """Respond with the job and the live state of its parts."""
        team = read_team(request, self._view)
        status = await self._jobs.status(job)
        _require_team(status.row, team)
        return _json_response(status)

    async def cancel(self, request: Request, job: str) -> HTTPResponse:
        """Mark the job as cancelled; its running tasks are stopped soon after."""
        team = read_team(request, self._view)
        status = await self._jobs.status(job)
        _require_team(status.row, team)
        return _json_response(await self._jobs.cancel(job))

    async def list(self, request: Request) -> HTTPResponse:
        """Respond with a page of the team's jobs.

        A page can hold fewer than `limit` jobs, or none, although more follow: the
        jobs of other teams are left out after the page is read.
        """
        team = read_team(request, self._view)
        limit = _read_page_size(request)
        prefix = request.args.get("prefix", "")
        after = request.args.get("after", "")
        page = await self._jobs.list(prefix, after=after, limit=limit)
        own = [row for row in page.jobs if row.team == team]
        return _json_response(JobPage(own, page.after))


def _decode_spec(body: bytes) -> JobSpec:
    """Return the submitted job, or raise `InvalidInputError` naming the wrong field."""
    try:
        return msgspec.json.decode(body, type=JobSpec)
    except msgspec.MsgspecError as exc:
        raise InvalidInputError(f"job: {exc}") from exc


def _read_page_size(request: Request) -> int:
    """Return the query parameter `limit`, the maximum number of jobs in a page."""
    text = request.args.get("limit", str(DEFAULT_PAGE_SIZE))
    if not text.isdecimal() or not 1 <= int(text) <= MAX_PAGE_SIZE:
        raise InvalidInputError(f"limit: expected 1 to {MAX_PAGE_SIZE}")
    return int(text)


def _require_team(row: JobRow, team: str) -> None:
    """Raise `NotFoundError` for the job of another team, as if it did not exist."""
    if row.team != team:
        raise NotFoundError(f"there is no job {row.job!r}")


def _json_response(value: object, *, status: int = 200) -> HTTPResponse:
    return HTTPResponse(msgspec.json.encode(value), status=status, content_type=JSON)
