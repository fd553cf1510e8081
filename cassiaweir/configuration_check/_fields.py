"""Finds all malformed fields of a JSON document, each with its path.

msgspec reports only the first one, and ignores unknown fields.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, get_args, get_origin, get_type_hints

import msgspec

from cassiaweir.configuration._bundle import VALIDATION_ERROR_PATTERN

ROOT_PATH = "$"


class Finding(msgspec.Struct, frozen=True):
    """A fault of a file.  `key` is the path of the entry or field, `$` for all of it.

    A `malformed` field cannot be decoded, so that the file as a whole has no effect.
    """

    file: str
    key: str
    reason: str
    malformed: bool = False


def find_malformed(
    file: str, path: str, struct: type, value: Any, *, allow_unknown: bool = False
) -> Iterator[Finding]:
    """Yield the findings for `value`, which should be an object for `struct`.

    With `allow_unknown`, unknown fields are not reported.
    """
    if not isinstance(value, dict):
        yield _convert_finding(file, path, struct, value)
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct)}
    hints = get_type_hints(struct)
    for name, part in value.items():
        if name in fields:
            part_path = join_path(path, name)
            part_type = hints[fields[name].name]
            yield from _check_value(file, part_path, part_type, part, allow_unknown)
        elif not allow_unknown:
            known = ", ".join(fields)
            yield Finding(
                file, join_path(path, name), f"unknown field; known are {known}"
            )
    for name, field in fields.items():
        if field.required and name not in value:
            yield Finding(file, join_path(path, name), "missing", malformed=True)


def split_error(message: str) -> tuple[str, str]:
    """Return the path and the reason in the message of an error of msgspec."""
    match = VALIDATION_ERROR_PATTERN.fullmatch(message)
    if match is None:
        return ROOT_PATH, message
    return match["key"] or ROOT_PATH, match["reason"]


def join_path(path: str, name: str) -> str:
    """Return the path of the field `name` of the object at `path`."""
    return name if path == ROOT_PATH else f"{path}.{name}"


def _check_value(
    file: str, path: str, declared: Any, value: Any, allow_unknown: bool
) -> Iterator[Finding]:
    options = get_args(declared)
    is_list = get_origin(declared) is list
    structs = [each for each in (declared, *options) if _is_struct(each)]
    if is_list and isinstance(value, list):
        for number, item in enumerate(value):
            item_path = f"{path}[{number}]"
            yield from _check_value(file, item_path, options[0], item, allow_unknown)
    elif structs and not is_list and isinstance(value, dict):
        yield from find_malformed(
            file, path, structs[0], value, allow_unknown=allow_unknown
        )
    else:
        try:
            msgspec.convert(value, declared)
        except msgspec.ValidationError:
            yield _convert_finding(file, path, declared, value)


def _is_struct(declared: Any) -> bool:
    return isinstance(declared, type) and issubclass(declared, msgspec.Struct)


def _convert_finding(file: str, path: str, declared: Any, value: Any) -> Finding:
    reason = "unexpected value"
    try:
        msgspec.convert(value, declared)
    except msgspec.ValidationError as exc:
        reason = split_error(str(exc))[1]
    return Finding(file, path, reason, malformed=True)
