"""Checks addresses of the form host:port that others have written."""

from __future__ import annotations

import ipaddress
import re

MAX_HOST_CHARS = 253
MAX_PORT = 65_535
LABEL_PATTERN = re.compile(r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?")


def is_address(address: str) -> bool:
    """Return whether `address` is a host name or IP address with a port."""
    host, separator, port = address.rpartition(":")
    if not separator or not _is_port(port):
        return False
    if host.startswith("[") and host.endswith("]"):
        return _is_ipv6(host[1:-1])
    labels = host.removesuffix(".").split(".")
    fits = len(host) <= MAX_HOST_CHARS
    return fits and all(LABEL_PATTERN.fullmatch(each) for each in labels)


def _is_port(text: str) -> bool:
    digits = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_PORT))
    return digits and 1 <= int(text) <= MAX_PORT


def _is_ipv6(text: str) -> bool:
    try:
        ipaddress.IPv6Address(text)
    except ValueError:
        return False
    return True
