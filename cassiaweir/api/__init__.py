"""The HTTP API of a gateway, for callers and for operators."""

from cassiaweir.api._admin_api import admin_blueprints
from cassiaweir.api._app import GatewayServer
from cassiaweir.api._jobs import JobApi
from cassiaweir.api._problems import Problem, problem_response
from cassiaweir.api._requests import RequestApi

__all__ = [
    "GatewayServer",
    "JobApi",
    "Problem",
    "RequestApi",
    "admin_blueprints",
    "problem_response",
]
