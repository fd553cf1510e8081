"""Routes of the configuration bundle: /v1/admin/bundles."""

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
    answer_json,
    read_body,
    read_number,
    read_text,
)
from cassiaweir.configuration import Bundle, Operator, parse_bundle
from cassiaweir.exceptions import InvalidInputError


class BundleRoutes(AdminRoutes):
    """Takes bundles through their life."""

    def blueprint(self) -> Blueprint:
        """Return the routes."""
        routes = Blueprint("admin_bundles", url_prefix=f"{PREFIX}/bundles")
        self.add(routes, "GET", "/", self.history, "history")
        self.add(routes, "POST", "/", self.draft, "draft")
        self.add(routes, "POST", "/check", self.check, "check")
        self.add(routes, "GET", "/status", self.status, "status")
        self.add(routes, "GET", "/<version:str>", self.show, "show")
        self.add(routes, "GET", "/<version:str>/diff", self.diff, "diff")
        self.add(routes, "GET", "/<version:str>/check", self.recheck, "recheck")
        self.add(routes, "POST", "/<version:str>/propose", self.propose, "propose")
        self.add(routes, "POST", "/<version:str>/review", self.review, "review")
        self.add(routes, "POST", "/<version:str>/rollout", self.roll_out, "rollout")
        self.add(routes, "POST", "/<version:str>/revert", self.revert, "revert")
        return routes

    async def history(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with all versions."""
        return answer_json(await self.cell.bundles.history())

    async def draft(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer 201 with the new draft."""
        bundle = _read_bundle(request)
        row = await self.cell.bundles.repository.draft(operator, bundle)
        return answer_json(describe_bundle(row), status=201)

    async def check(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with what the bundle would change, without storing it."""
        return answer_json(await self.cell.bundles.check(_read_bundle(request)))

    async def status(self, request: Request, operator: Operator) -> HTTPResponse:
        """Answer with the head and which processes have it in force."""
        return answer_json(await self.cell.bundles.status())

    async def show(
        self, request: Request, operator: Operator, version: str
    ) -> HTTPResponse:
        """Answer with a version and its whole content."""
        number = read_number(version, "version")
        return answer_json(await self.cell.bundles.repository.get(number))

    async def diff(
        self, request: Request, operator: Operator, version: str
    ) -> HTTPResponse:
        """Answer with the changes from its base, or from `against`."""
        number = read_number(version, "version")
        text = read_text(request, "against")
        against = read_number(text, "against") if text else None
        return answer_json(await self.cell.bundles.diff(number, against))

    async def recheck(
        self, request: Request, operator: Operator, version: str
    ) -> HTTPResponse:
        """Answer with the check of a stored version against the cell as it is."""
        number = read_number(version, "version")
        row = await self.cell.bundles.repository.get(number)
        return answer_json(await self.cell.bundles.check(row.bundle))

    async def propose(
        self, request: Request, operator: Operator, version: str
    ) -> HTTPResponse:
        """Ask for the review of a draft."""
        number = read_number(version, "version")
        change = read_body(request, ProposeChange)
        repository = self.cell.bundles.repository
        row = await repository.propose(operator, number, change.digest)
        return answer_json(describe_bundle(row))

    async def review(
        self, request: Request, operator: Operator, version: str
    ) -> HTTPResponse:
        """Approve or reject a proposed version."""
        number = read_number(version, "version")
        change = read_body(request, ReviewChange)
        row = await self.cell.bundles.repository.review(
            operator,
            number,
            change.digest,
            approve=change.approve,
            comment=change.comment,
        )
        return answer_json(describe_bundle(row))

    async def roll_out(
        self, request: Request, operator: Operator, version: str
    ) -> HTTPResponse:
        """Put an approved version in force."""
        number = read_number(version, "version")
        change = read_body(request, RolloutChange)
        row = await self.cell.bundles.roll_out(
            operator, number, change.digest, confirm=change.confirm
        )
        return answer_json(describe_bundle(row, row.version))

    async def revert(
        self, request: Request, operator: Operator, version: str
    ) -> HTTPResponse:
        """Put the content of an earlier version in force as a new version."""
        number = read_number(version, "version")
        change = read_body(request, RevertChange)
        row = await self.cell.bundles.revert_to(
            operator, number, head=change.head, confirm=change.confirm
        )
        return answer_json(describe_bundle(row, row.version))


def _read_bundle(request: Request) -> Bundle:
    draft = read_body(request, BundleDraft)
    files = {file.name: file.text for file in draft.files}
    if len(files) < len(draft.files):
        raise InvalidInputError("files: two files have one name")
    return parse_bundle(files)
