"""Assembles the administration API from its groups of routes."""

from __future__ import annotations

from sanic import Blueprint

from cassiaweir.api._admin import CallLimiter
from cassiaweir.api._admin_bundles import BundleRoutes
from cassiaweir.api._admin_cell import CellRoutes
from cassiaweir.api._admin_jobs import JobRoutes
from cassiaweir.facade import CellAdministration


def admin_blueprints(cell: CellAdministration) -> list[Blueprint]:
    """Return the blueprints of the administration API, with one shared call limit."""
    limiter = CallLimiter()
    return [
        CellRoutes(cell, limiter).blueprint(),
        BundleRoutes(cell, limiter).blueprint(),
        JobRoutes(cell, limiter).blueprint(),
    ]
