"""The whole administration API."""

from __future__ import annotations

from sanic import Blueprint

from cassiaweir.api._admin import CallGate
from cassiaweir.api._admin_bundles import BundleRoutes
from cassiaweir.api._admin_cell import CellRoutes
from cassiaweir.api._admin_jobs import JobRoutes
from cassiaweir.facade import CellAdministration


def admin_blueprints(cell: CellAdministration) -> list[Blueprint]:
    """Return the blueprints of the administration API; they share one gate."""
    gate = CallGate()
    return [
        CellRoutes(cell, gate).blueprint(),
        BundleRoutes(cell, gate).blueprint(),
        JobRoutes(cell, gate).blueprint(),
    ]
