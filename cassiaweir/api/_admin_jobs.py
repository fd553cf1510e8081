"""Routes of the jobs of all teams: /v1/admin/jobs."""

from __future__ import annotations

from sanic import Blueprint, HTTPResponse, Request

from cassiaweir.administration import CancelSelector
from cassiaweir.api._admin import (
    PREFIX,
    AdminRoutes,
    answer_json,
    read_body,
    read_limit,
    read_text,
)
from cassiaweir.configuration import Operator


class JobRoutes(AdminRoutes):
    """Lists, explains and cancels jobs."""

    def blueprint(self) -> Blueprint:
        """Return the routes."""
        routes = Blueprint("admin_jobs", url_prefix=f"{PREFIX}/jobs")
        self.add(routes, "GET", "/", self.list, "list")
        self.add(routes, "POST", "/cancel", self.cancel_selected, "cancel_selected")
        self.add(routes, "GET", "/<job:str>", self.show, "show")
        self.add(routes, "DELETE", "/<job:str>", self.cancel, "cancel")
        return routes

    async def list(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with a page of jobs."""
        found = await self.cell.jobs.page(
            prefix=read_text(request, "prefix"),
            team=read_text(request, "team"),
            queue=read_text(request, "queue"),
            after=read_text(request, "after"),
            limit=read_limit(request),
        )
        return answer_json(found)

    async def show(
        self, request: Request, operator: Operator, job: str
    ) -> HTTPResponse:
        """Answer with a job, its parts, and why it waits."""
        return answer_json(await self.cell.jobs.show(job))

    async def cancel(
        self, request: Request, operator: Operator, job: str
    ) -> HTTPResponse:
        """Cancel a job; a repeat gets the same answer."""
        return answer_json(await self.cell.jobs.cancel(operator, job))

    async def cancel_selected(
        self, request: Request, operator: Operator
    ) -> HTTPResponse:
        """Cancel the jobs of a team, or those whose names start alike."""
        selector = read_body(request, CancelSelector)
        return answer_json(await self.cell.jobs.cancel_selected(operator, selector))
