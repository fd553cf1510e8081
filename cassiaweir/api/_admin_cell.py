"""Routes of operators, keys, teams, VMs and what the cell shows of itself."""

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
    answer_json,
    read_body,
    read_limit,
    read_text,
    read_time,
)
from cassiaweir.configuration import Operator
from cassiaweir.exceptions import InvalidInputError
from cassiaweir.observe import render_text, render_trace

TIMELINE_FORMATS = ("", "text", "trace")


class CellRoutes(AdminRoutes):
    """Answers about the cell as a whole."""

    def blueprint(self) -> Blueprint:
        """Return the routes."""
        routes = Blueprint("admin", url_prefix=PREFIX)
        self.add(routes, "GET", "/operators", self.operators, "operators")
        self.add(routes, "POST", "/operators", self.add_operator, "add_operator")
        self.add(
            routes, "DELETE", "/operators/<name:str>", self.remove, "remove_operator"
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
            routes, "PUT", "/vms/<name:str>/condition", self.condition, "condition"
        )
        self.add(routes, "GET", "/shards", self.shards, "shards")
        self.add(routes, "GET", "/processes", self.processes, "processes")
        self.add(routes, "GET", "/metrics", self.metrics, "metrics")
        self.add(routes, "GET", "/audit", self.audit, "audit")
        self.add(routes, "GET", "/timeline", self.timeline, "timeline")
        self.add(routes, "GET", "/status", self.status, "status")
        return routes

    async def operators(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with all operators."""
        return answer_json(await self.cell.operators())

    async def add_operator(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer 201 with the credential of a new operator."""
        new = read_body(request, NewOperator)
        issued = await self.cell.add_operator(operator, new.name, new.roles)
        return answer_json(issued, status=201)

    async def remove(
        self, request: Request, operator: Operator, name: str
    ) -> HTTPResponse:
        """Remove an operator and answer with those that are left."""
        return answer_json(await self.cell.remove_operator(operator, name))

    async def keys(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with the keys of a team, or all."""
        return answer_json(await self.cell.keys(read_text(request, "team")))

    async def grant_key(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer 201 with a new key and its secret."""
        grant = read_body(request, KeyGrant)
        key = await self.cell.grant_key(operator, grant.team)
        return answer_json(key, status=201)

    async def withdraw_key(
        self, request: Request, operator: Operator, prefix: str
    ) -> HTTPResponse:
        """Withdraw a key; a repeat gets the same answer."""
        return answer_json(await self.cell.withdraw_key(operator, prefix))

    async def teams(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with the teams in force."""
        return answer_json(await self.cell.teams())

    async def queues(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with the queues in force."""
        return answer_json(self.cell.queues())

    async def services(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with the services in force."""
        return answer_json(await self.cell.services())

    async def vms(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with VMs and backend servers."""
        return answer_json(await self.cell.vms())

    async def condition(
        self, request: Request, operator: Operator, name: str
    ) -> HTTPResponse:
        """Drain, quarantine or open a VM; a repeat gets the same answer."""
        change = read_body(request, ConditionChange)
        return answer_json(await self.cell.set_vm_condition(operator, name, change))

    async def shards(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with the shards and their owners."""
        return answer_json(self.cell.shards())

    async def processes(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with the versions in force in each process."""
        return answer_json(await self.cell.processes())

    async def metrics(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with the metrics text of every process, or of `process`."""
        process = read_text(request, "process")
        return answer_json(await self.cell.fetch_texts("metrics", process))

    async def audit(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with the newest changes that took effect."""
        found = await self.cell.audit(
            area=read_text(request, "area"),
            operator=read_text(request, "operator"),
            limit=read_limit(request),
        )
        return answer_json(found)

    async def timeline(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with the merged events as lines, or as a trace file."""
        wanted = read_text(request, "format")
        if wanted not in TIMELINE_FORMATS:
            raise InvalidInputError("format: expected text or trace")
        kinds = read_text(request, "kinds")
        wanted_by = EventFilter(
            job=read_text(request, "job"),
            request=read_text(request, "request"),
            vm=read_text(request, "vm"),
            kinds=frozenset(kinds.split(",")) if kinds else frozenset(),
            since=read_time(request, "since"),
        )
        events, silent = await self.cell.timeline(wanted_by)
        if wanted == "trace":
            return HTTPResponse(render_trace(events), content_type=JSON)
        lines = render_text(events).splitlines()
        return answer_json(TimelineReport(lines=lines, silent=silent))

    async def status(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with what one screen shows of the cell."""
        return answer_json(await self.cell.status())
