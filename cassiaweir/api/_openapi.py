"""Writes the OpenAPI document: `python -m cassiaweir.api._openapi FILE`."""

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
PROBLEM_TEXTS = {
    400: "The input is malformed; nothing ran.",
    401: "The key or the credential is missing, unknown or withdrawn; nothing ran.",
    403: "The key or the operator may not do this; nothing ran.",
    404: "There is no such thing.",
    409: "Another change came first, or the outcome is in doubt; see the verdict.",
    413: "The body is too large; nothing ran.",
    422: "The idempotency key was used for another request; nothing ran.",
    429: "Too much at once; nothing ran.",
    502: "The backend server gave no whole answer; see the verdict.",
    503: "Refused for now; see the verdict.",
    504: "The deadline passed; see the verdict.",
}
RETRY_STATUSES = (429, 503)

# The document is data for other programs, so that it is made of plain objects.
Node = dict[str, Any]


def render() -> bytes:
    """Return the document as indented JSON."""
    types = [item for op in OPERATIONS for item in (op.body, op.answer) if item]
    types.append(Problem)
    unique = list(dict.fromkeys(types))
    schemas, components = msgspec.json.schema_components(
        unique, ref_template=REF_TEMPLATE
    )
    by_type = dict(zip(unique, schemas, strict=True))
    paths: Node = {}
    for operation in OPERATIONS:
        entry = paths.setdefault(operation.path, {})
        entry[operation.method] = _describe(operation, by_type)
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


def _describe(operation: Operation, schemas: dict[Any, Node]) -> Node:
    node: Node = {
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


def _responses(operation: Operation, schemas: dict[Any, Node]) -> Node:
    answer: Node = {"description": "The answer."}
    if operation.answer is not None:
        answer["content"] = {JSON: {"schema": schemas[operation.answer]}}
    responses: Node = {str(operation.status): answer}
    for status in operation.problems:
        problem: Node = {
            "description": PROBLEM_TEXTS[status],
            "content": {CONTENT_TYPE: {"schema": schemas[Problem]}},
        }
        if status in RETRY_STATUSES:
            schema = {"type": "integer", "minimum": 1}
            problem["headers"] = {"Retry-After": {"schema": schema}}
        responses[str(status)] = problem
    return responses


def _parameters(operation: Operation) -> list[Node]:
    text = {"type": "string"}
    parameters: list[Node] = [
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
