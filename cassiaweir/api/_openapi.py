"""Generates the OpenAPI document: `python -m cassiaweir.api._openapi FILE`."""

from __future__ import annotations

import re
import sys
from pathlib import Path
from typing import Any

import msgspec

from cassiaweir import __version__
from cassiaweir.api._openapi_routes import OPERATIONS, Operation
from cassiaweir.api._problems import CONTENT_TYPE, Problem

JSON = "application/json"
REF_TEMPLATE = "#/components/schemas/{name}"
PARAMETER_PATTERN = re.compile(r"\{(\w+)\}")
PROBLEM_DESCRIPTIONS = {
    400: "The request is invalid; nothing ran.",
    401: "The key or the credential is missing, unknown or withdrawn; nothing ran.",
    403: "The key or the operator lacks the permission; nothing ran.",
    404: "The named object does not exist.",
    409: (
        "The request conflicts with another change, needs confirmation, or has an "
        "unknown outcome; see the verdict."
    ),
    413: "The body is too large; nothing ran.",
    422: "The idempotency key was used for a different request; nothing ran.",
    429: "Too many requests; nothing ran.",
    502: "The backend server sent no complete response; see the verdict.",
    503: "Temporarily unavailable; see the verdict.",
    504: "The deadline passed; see the verdict.",
}
RETRY_AFTER_STATUSES = (429, 503)

# The document is plain JSON for other programs, so it is built from dicts.
JsonObject = dict[str, Any]


def render() -> bytes:
    """Return the OpenAPI document as indented JSON."""
    types = [item for op in OPERATIONS for item in (op.body, op.response) if item]
    types.append(Problem)
    unique = list(dict.fromkeys(types))
    schemas, components = msgspec.json.schema_components(
        unique, ref_template=REF_TEMPLATE
    )
    by_type = dict(zip(unique, schemas, strict=True))
    paths: JsonObject = {}
    for operation in OPERATIONS:
        entry = paths.setdefault(operation.path, {})
        entry[operation.method] = _describe_operation(operation, by_type)
    document = {
        "openapi": "3.1.0",
        "info": {"title": "cassiaweir", "version": __version__},
        "paths": paths,
        "components": {
            "schemas": dict(sorted(components.items())),
            "securitySchemes": {
                "teamKey": {"type": "http", "scheme": "bearer"},
                "operatorCredential": {"type": "http", "scheme": "bearer"},
            },
        },
    }
    return msgspec.json.format(msgspec.json.encode(document), indent=2) + b"\n"


def _describe_operation(
    operation: Operation, schemas: dict[Any, JsonObject]
) -> JsonObject:
    node: JsonObject = {
        "summary": operation.summary,
        "operationId": _operation_id(operation),
        "responses": _responses(operation, schemas),
    }
    if operation.tags:
        node["tags"] = list(operation.tags)
    if operation.security:
        node["security"] = [{operation.security: []}]
    parameters = _parameters(operation)
    if parameters:
        node["parameters"] = parameters
    if operation.body is not None:
        content = {JSON: {"schema": schemas[operation.body]}}
        node["requestBody"] = {"required": True, "content": content}
    return node


def _operation_id(operation: Operation) -> str:
    words = re.findall(r"[A-Za-z0-9]+", operation.path.removeprefix("/v1"))
    return "_".join([operation.method, *words])


def _responses(operation: Operation, schemas: dict[Any, JsonObject]) -> JsonObject:
    response: JsonObject = {"description": "The request succeeded."}
    if operation.response is not None:
        response["content"] = {JSON: {"schema": schemas[operation.response]}}
    responses: JsonObject = {str(operation.status): response}
    for status in operation.problems:
        problem: JsonObject = {
            "description": PROBLEM_DESCRIPTIONS[status],
            "content": {CONTENT_TYPE: {"schema": schemas[Problem]}},
        }
        if status in RETRY_AFTER_STATUSES:
            schema = {"type": "integer", "minimum": 1}
            problem["headers"] = {"Retry-After": {"schema": schema}}
        responses[str(status)] = problem
    return responses


def _parameters(operation: Operation) -> list[JsonObject]:
    text = {"type": "string"}
    parameters: list[JsonObject] = [
        {"name": name, "in": "path", "required": True, "schema": text}
        for name in PARAMETER_PATTERN.findall(operation.path)
    ]
    parameters += [
        {"name": name, "in": "query", "schema": text} for name in operation.query
    ]
    parameters += [
        {"name": name, "in": "header", "schema": text} for name in operation.headers
    ]
    return parameters


if __name__ == "__main__":
    Path(sys.argv[1]).write_bytes(render())
