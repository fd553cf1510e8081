"""The HTTP interface for callers and operators."""

from cassiaweir.api._app import HttpFront
from cassiaweir.api._jobs import JobApi
from cassiaweir.api._problems import Problem, problem_response
from cassiaweir.api._requests import RequestApi

__all__ = ["HttpFront", "JobApi", "Problem", "RequestApi", "problem_response"]
