"""Routes for the jobs of all teams: /v1/admin/jobs."""

from __future__ import annotations

from sanic import Blueprint, HTTPResponse, Request

from cassiaweir.administration import CancelSelector
from cassiaweir.api._admin import (
    PREFIX,
    AdminRoutes,
    json_response,
    read_body,
    read_page_size,
    read_query_text,
)
from cassiaweir.configuration import Operator


class JobRoutes(AdminRoutes):
    """Lists, shows and cancels jobs of any team."""

    def blueprint(self) -> Blueprint:
        """Return the blueprint with these routes."""
        routes = Blueprint("admin_jobs", url_prefix=f"{PREFIX}/jobs")
        self.add(routes, "GET", "/", self.list, "list")
        self.add(routes, "POST", "/cancel", self.cancel_selected, "cancel_selected")
        self.add(routes, "GET", "/<job:str>", self.show, "show")
        self.add(routes, "DELETE", "/<job:str>", self.cancel, "cancel")
        return routes

    async def list(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with a page of the jobs that match the query."""
        found = await self.cell.jobs.page(
            prefix=read_query_text(request, "prefix"),
            team=read_query_text(request, "team"),
            queue=read_query_text(request, "queue"),
            after=read_query_text(request, "after"),
            limit=read_page_size(request),
        )
        return json_response(found)

    async def show(
        self, request: Request, operator: Operator, job: str
    ) -> HTTPResponse:
        """Respond with a job, its parts, and why it is waiting."""
        return json_response(await self.cell.jobs.show(job))

    async def cancel(
        self, request: Request, operator: Operator, job: str
    ) -> HTTPResponse:
        """Cancel a job; a repeated call gets the same response."""
        return json_response(await self.cell.jobs.cancel(operator, job))

    async def cancel_selected(
        self, request: Request, operator: Operator
    ) -> HTTPResponse:
        """Cancel the jobs that match a team, a name prefix, or both."""
        selector = read_body(request, CancelSelector)
        return json_response(await self.cell.jobs.cancel_selected(operator, selector))
