"""Parsers of option values.

A value is text from the environment or `--set`, or a value of a TOML file.  A parser
raises `ValueError` with what it expected if the value is malformed.
"""

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
MAX_PORT = 65535


def parse_duration(value: object) -> timedelta:
    """Return the duration of a text such as `1500ms`, `3s`, `5m`, `1h` or `7d`."""
    match = DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(
            f"expected a duration such as '1500ms', '3s' or '5m', got {value!r}"
        )
    return float(match[1]) * DURATION_UNITS[match[2]]


def parse_address(value: object) -> str:
    """Return `value` if it is an IP address and a port."""
    if not isinstance(value, str) or not ADDRESS_PATTERN.fullmatch(value):
        raise ValueError(
            f"expected an IP address and port such as '10.0.0.5:7200', got {value!r}"
        )
    if int(value.rpartition(":")[2]) > MAX_PORT:
        raise ValueError(f"expected a port of at most {MAX_PORT}, got {value!r}")
    return value


def parse_name(value: object) -> str:
    """Return `value` if it is a name of at most 63 characters.

    A name has lower-case letters, digits and hyphens, and does not begin with a
    hyphen.
    """
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise ValueError(
            "expected 1 to 63 lower-case letters, digits and hyphens, not beginning "
            f"with a hyphen, got {value!r}"
        )
    return value


def parse_digest(value: object) -> str:
    """Return `value` if it is empty or a SHA-256 digest in hexadecimal."""
    if not isinstance(value, str) or not DIGEST_PATTERN.fullmatch(value):
        # The value may be the secret itself, so the message must not repeat it.
        raise ValueError("expected 64 lower-case hexadecimal digits")
    return value


def parse_text(value: object) -> str:
    """Return `value` if it is text."""
    if not isinstance(value, str):
        raise ValueError(f"expected text, got {value!r}")
    return value


def parse_names(value: object) -> tuple[str, ...]:
    """Return the names in a list, or in text that separates them by commas."""
    items = value.split(",") if isinstance(value, str) else value
    if not isinstance(items, list):
        raise ValueError(f"expected a list of names, got {value!r}")
    return tuple(parse_name(item) for item in items)


def parse_addresses(value: object) -> tuple[str, ...]:
    """Return the addresses in a list, or in text that separates them by commas."""
    items = value.split(",") if isinstance(value, str) else value
    if not isinstance(items, list):
        raise ValueError(f"expected a list of IP addresses with ports, got {value!r}")
    return tuple(parse_address(item) for item in items if item)


def parse_count(value: object) -> int:
    """Return the whole number of at least 1 that `value` is or writes in digits."""
    number = int(value) if isinstance(value, str) and value.isdecimal() else value
    if not isinstance(number, int) or isinstance(number, bool) or number < 1:
        raise ValueError(f"expected a whole number of at least 1, got {value!r}")
    return number


def parse_flag(value: object) -> bool:
    """Return `value` as a truth value; it may be the text `true` or `false`."""
    flag = BOOLEANS.get(value) if isinstance(value, str) else value
    if not isinstance(flag, bool):
        raise ValueError(f"expected true or false, got {value!r}")
    return flag
