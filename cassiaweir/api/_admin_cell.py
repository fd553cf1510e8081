"""Routes for operators, keys, VMs, and the state and configuration of the cell."""

from __future__ import annotations

from sanic import Blueprint, HTTPResponse, Request

from cassiaweir.administration import (
    ConditionChange,
    KeyGrant,
    NewOperator,
    TimelineReport,
)
from cassiaweir.administration._selection import EventFilter
from cassiaweir.api._admin import (
    JSON,
    PREFIX,
    AdminRoutes,
    json_response,
    read_body,
    read_page_size,
    read_query_text,
    read_query_time,
)
from cassiaweir.configuration import Operator
from cassiaweir.exceptions import InvalidInputError
from cassiaweir.observe import render_text, render_trace

TIMELINE_FORMATS = ("", "text", "trace")


class CellRoutes(AdminRoutes):
    """Manages operators, keys and VM conditions, and shows the state of the cell."""

    def blueprint(self) -> Blueprint:
        """Return the blueprint with these routes."""
        routes = Blueprint("admin", url_prefix=PREFIX)
        self.add(routes, "GET", "/operators", self.operators, "operators")
        self.add(routes, "POST", "/operators", self.add_operator, "add_operator")
        self.add(
            routes,
            "DELETE",
            "/operators/<name:str>",
            self.delete_operator,
            "remove_operator",
        )
        self.add(routes, "GET", "/keys", self.keys, "keys")
        self.add(routes, "POST", "/keys", self.grant_key, "grant_key")
        self.add(
            routes, "DELETE", "/keys/<prefix:str>", self.withdraw_key, "withdraw_key"
        )
        self.add(routes, "GET", "/teams", self.teams, "teams")
        self.add(routes, "GET", "/queues", self.queues, "queues")
        self.add(routes, "GET", "/services", self.services, "services")
        self.add(routes, "GET", "/vms", self.vms, "vms")
        self.add(
            routes, "PUT", "/vms/<name:str>/condition", self.set_condition, "condition"
        )
        self.add(routes, "GET", "/shards", self.shards, "shards")
        self.add(routes, "GET", "/processes", self.processes, "processes")
        self.add(routes, "GET", "/metrics", self.metrics, "metrics")
        self.add(routes, "GET", "/audit", self.audit, "audit")
        self.add(routes, "GET", "/timeline", self.timeline, "timeline")
        self.add(routes, "GET", "/status", self.status, "status")
        return routes

    async def operators(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with all operators."""
        return json_response(await self.cell.operators())

    async def add_operator(self, request: Request, operator: Operator) -> HTTPResponse:
        """Add an operator and respond 201 with its credential."""
        new = read_body(request, NewOperator)
        issued = await self.cell.add_operator(operator, new.name, new.roles)
        return json_response(issued, status=201)

    async def delete_operator(
        self, request: Request, operator: Operator, name: str
    ) -> HTTPResponse:
        """Remove an operator and respond with the remaining ones."""
        return json_response(await self.cell.remove_operator(operator, name))

    async def keys(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with the keys of a team, or with all keys."""
        return json_response(await self.cell.keys(read_query_text(request, "team")))

    async def grant_key(self, request: Request, operator: Operator) -> HTTPResponse:
        """Create a key for a team and respond 201 with its secret."""
        grant = read_body(request, KeyGrant)
        key = await self.cell.grant_key(operator, grant.team)
        return json_response(key, status=201)

    async def withdraw_key(
        self, request: Request, operator: Operator, prefix: str
    ) -> HTTPResponse:
        """Withdraw a key; a repeated call gets the same response."""
        return json_response(await self.cell.withdraw_key(operator, prefix))

    async def teams(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with the teams of the bundle in force."""
        return json_response(await self.cell.teams())

    async def queues(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with the queues of the bundle in force."""
        return json_response(self.cell.queues())

    async def services(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with the services of the bundle in force."""
        return json_response(await self.cell.services())

    async def vms(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with the VMs and backend servers."""
        return json_response(await self.cell.vms())

    async def set_condition(
        self, request: Request, operator: Operator, name: str
    ) -> HTTPResponse:
        """Drain, quarantine or open a VM; a repeated call gets the same response."""
        change = read_body(request, ConditionChange)
        return json_response(await self.cell.set_vm_condition(operator, name, change))

    async def shards(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with the shards and their owners."""
        return json_response(self.cell.shards())

    async def processes(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with the processes and the versions in force in each."""
        return json_response(await self.cell.processes())

    async def metrics(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with the metrics text of every process, or of `process`."""
        process = read_query_text(request, "process")
        return json_response(await self.cell.fetch_texts("metrics", process))

    async def audit(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with the newest entries of the audit record."""
        found = await self.cell.audit(
            area=read_query_text(request, "area"),
            operator=read_query_text(request, "operator"),
            limit=read_page_size(request),
        )
        return json_response(found)

    async def timeline(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with the events of all processes as text lines or as a trace file.

        Query parameters select the events; `format=trace` selects the trace file.
        """
        output_format = read_query_text(request, "format")
        if output_format not in TIMELINE_FORMATS:
            raise InvalidInputError("format: expected 'text' or 'trace'")
        kinds = read_query_text(request, "kinds")
        event_filter = EventFilter(
            job=read_query_text(request, "job"),
            request=read_query_text(request, "request"),
            vm=read_query_text(request, "vm"),
            kinds=frozenset(kinds.split(",")) if kinds else frozenset(),
            since=read_query_time(request, "since"),
        )
        events, silent = await self.cell.timeline(event_filter)
        if output_format == "trace":
            return HTTPResponse(render_trace(events), content_type=JSON)
        lines = render_text(events).splitlines()
        return json_response(TimelineReport(lines=lines, silent=silent))

    async def status(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with a summary of the state of the cell."""
        return json_response(await self.cell.status())
