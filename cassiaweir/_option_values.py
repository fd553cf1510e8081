"""Parsers of the values that options take; each raises `ValueError`."""

from __future__ import annotations

import re
from datetime import timedelta

DURATION_UNITS = {
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "m": timedelta(minutes=1),
    "h": timedelta(hours=1),
    "d": timedelta(days=1),
}
DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h|d)")
ADDRESS_PATTERN = re.compile(r"[0-9.]+:\d{1,5}|\[[0-9a-fA-F:]+\]:\d{1,5}")
DIGEST_PATTERN = re.compile(r"(?:[0-9a-f]{64})?")
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
BOOLEANS = {"true": True, "false": False}
HIGHEST_PORT = 65535


def parse_duration(value: object) -> timedelta:
    """Return the duration in text such as `1500ms`, `3s`, `5m`, `1h` or `7d`."""
    match = DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError("expected a duration such as '1500ms', '3s' or '5m'")
    return float(match[1]) * DURATION_UNITS[match[2]]


def parse_address(value: object) -> str:
    """Return `value` if it is an IP number and a port."""
    if not isinstance(value, str) or not ADDRESS_PATTERN.fullmatch(value):
        raise ValueError("expected an IP number and port such as '10.0.0.5:7200'")
    if int(value.rpartition(":")[2]) > HIGHEST_PORT:
        raise ValueError(f"the port is above {HIGHEST_PORT}")
    return value


def parse_name(value: object) -> str:
    """Return `value` if it is a plain name."""
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise ValueError("expected lower-case letters, digits and hyphens")
    return value


def parse_digest(value: object) -> str:
    """Return `value` if it is empty or a SHA-256 digest in hexadecimal."""
    if not isinstance(value, str) or not DIGEST_PATTERN.fullmatch(value):
        raise ValueError("expected 64 lower-case hexadecimal digits")
    return value


def parse_text(value: object) -> str:
    """Return `value` if it is text."""
    if not isinstance(value, str):
        raise ValueError("expected a text")
    return value


def parse_names(value: object) -> tuple[str, ...]:
    """Return the names in a list, or in text with commas."""
    items = value.split(",") if isinstance(value, str) else value
    if not isinstance(items, list):
        raise ValueError("expected a list of names")
    return tuple(parse_name(item) for item in items)


def parse_addresses(value: object) -> tuple[str, ...]:
    """Return the addresses in a list, or in text with commas."""
    items = value.split(",") if isinstance(value, str) else value
    if not isinstance(items, list):
        raise ValueError("expected a list of IP numbers and ports")
    return tuple(parse_address(item) for item in items if item)


def parse_count(value: object) -> int:
    """Return a whole number from 1 up."""
    number = int(value) if isinstance(value, str) and value.isdigit() else value
    if not isinstance(number, int) or isinstance(number, bool) or number < 1:
        raise ValueError("expected a whole number from 1 up")
    return number


def parse_flag(value: object) -> bool:
    """Return true or false."""
    flag = BOOLEANS.get(value) if isinstance(value, str) else value
    if not isinstance(flag, bool):
        raise ValueError("expected true or false")
    return flag
