"""Routes for the versions of the configuration bundle: /v1/admin/bundles."""

from __future__ import annotations

from sanic import Blueprint, HTTPResponse, Request

from cassiaweir.administration import (
    BundleDraft,
    ProposeChange,
    RevertChange,
    ReviewChange,
    RolloutChange,
)
from cassiaweir.administration._bundles import describe_bundle
from cassiaweir.api._admin import (
    PREFIX,
    AdminRoutes,
    json_response,
    read_body,
    read_positive_int,
    read_query_text,
)
from cassiaweir.configuration import Bundle, Operator, parse_bundle
from cassiaweir.exceptions import InvalidInputError


class BundleRoutes(AdminRoutes):
    """Drafts, checks, reviews, rolls out and reverts versions of the bundle."""

    def blueprint(self) -> Blueprint:
        """Return the blueprint with these routes."""
        routes = Blueprint("admin_bundles", url_prefix=f"{PREFIX}/bundles")
        self.add(routes, "GET", "/", self.history, "history")
        self.add(routes, "POST", "/", self.draft, "draft")
        self.add(routes, "POST", "/check", self.check, "check")
        self.add(routes, "GET", "/status", self.status, "status")
        self.add(routes, "GET", "/<version:str>", self.show, "show")
        self.add(routes, "GET", "/<version:str>/diff", self.diff, "diff")
        self.add(routes, "GET", "/<version:str>/check", self.check_version, "recheck")
        self.add(routes, "POST", "/<version:str>/propose", self.propose, "propose")
        self.add(routes, "POST", "/<version:str>/review", self.review, "review")
        self.add(routes, "POST", "/<version:str>/rollout", self.roll_out, "rollout")
        self.add(routes, "POST", "/<version:str>/revert", self.revert, "revert")
        return routes

    async def history(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with a list of all versions."""
        return json_response(await self.cell.bundles.history())

    async def draft(self, request: Request, operator: Operator) -> HTTPResponse:
        """Store a bundle as a new draft and respond 201 with its description."""
        bundle = _read_bundle(request)
        row = await self.cell.bundles.repository.draft(operator, bundle)
        return json_response(describe_bundle(row), status=201)

    async def check(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with what a bundle would change, without storing it."""
        return json_response(await self.cell.bundles.check(_read_bundle(request)))

    async def status(self, request: Request, operator: Operator) -> HTTPResponse:
        """Respond with the version in force and the processes that have it."""
        return json_response(await self.cell.bundles.status())

    async def show(
        self, request: Request, operator: Operator, version: str
    ) -> HTTPResponse:
        """Respond with a version and its full content."""
        number = read_positive_int(version, "version")
        return json_response(await self.cell.bundles.repository.get(number))

    async def diff(
        self, request: Request, operator: Operator, version: str
    ) -> HTTPResponse:
        """Respond with the changes of a version from its base, or from `against`."""
        number = read_positive_int(version, "version")
        text = read_query_text(request, "against")
        against = read_positive_int(text, "against") if text else None
        return json_response(await self.cell.bundles.diff(number, against))

    async def check_version(
        self, request: Request, operator: Operator, version: str
    ) -> HTTPResponse:
        """Respond with what a stored version would change in the present cell."""
        number = read_positive_int(version, "version")
        row = await self.cell.bundles.repository.get(number)
        return json_response(await self.cell.bundles.check(row.bundle))

    async def propose(
        self, request: Request, operator: Operator, version: str
    ) -> HTTPResponse:
        """Submit a draft for review."""
        number = read_positive_int(version, "version")
        change = read_body(request, ProposeChange)
        repository = self.cell.bundles.repository
        row = await repository.propose(operator, number, change.digest)
        return json_response(describe_bundle(row))

    async def review(
        self, request: Request, operator: Operator, version: str
    ) -> HTTPResponse:
        """Approve or reject a proposed version."""
        number = read_positive_int(version, "version")
        change = read_body(request, ReviewChange)
        row = await self.cell.bundles.repository.review(
            operator,
            number,
            change.digest,
            approve=change.approve,
            comment=change.comment,
        )
        return json_response(describe_bundle(row))

    async def roll_out(
        self, request: Request, operator: Operator, version: str
    ) -> HTTPResponse:
        """Put an approved version in force."""
        number = read_positive_int(version, "version")
        change = read_body(request, RolloutChange)
        row = await self.cell.bundles.roll_out(
            operator, number, change.digest, confirm=change.confirm
        )
        return json_response(describe_bundle(row, row.version))

    async def revert(
        self, request: Request, operator: Operator, version: str
    ) -> HTTPResponse:
        """Put the content of an earlier version in force as a new version."""
        number = read_positive_int(version, "version")
        change = read_body(request, RevertChange)
        row = await self.cell.bundles.revert_to(
            operator, number, head=change.head, confirm=change.confirm
        )
        return json_response(describe_bundle(row, row.version))


def _read_bundle(request: Request) -> Bundle:
    draft = read_body(request, BundleDraft)
    files = {file.name: file.text for file in draft.files}
    if len(files) < len(draft.files):
        raise InvalidInputError("files: expected distinct file names, got duplicates")
    return parse_bundle(files)
