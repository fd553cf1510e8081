"""Compares two versions of a configuration, by customer, queue and service."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from enum import StrEnum
from typing import Any

import msgspec

from cassiaweir.platform._manifest import Manifest, Route, Service, Tenant

KEY_DIGEST_DIGITS = 8
ALL_REQUESTS = "requests"
"""The subject of differences in the limits that hold for all customers."""


class Change(StrEnum):
    """What happened to an entry or a field."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Difference(msgspec.Struct, frozen=True):
    """A difference between two versions; `field` is empty if it is a whole entry.

    A key is shown as the first digits of its SHA-256.  `meaning` says what the change
    does, and is empty where the change itself says it.
    """

    subject: str
    name: str
    change: Change
    field: str = ""
    before: str = ""
    after: str = ""
    meaning: str = ""


def find_differences(before: Manifest, after: Manifest) -> list[Difference]:
    """Return the differences from `before` to `after`, in the order of names.

    The order of entries, of keys and of fields does not matter.
    """
    return [
        *_compare_tenants(before.tenants, after.tenants),
        *_compare("queue", before.routes, after.routes, _queue_meaning),
        *_compare("service", before.services, after.services, _no_meaning),
        *_compare_fields(ALL_REQUESTS, "", before.limits, after.limits, _limit_meaning),
    ]


def mask_key(key: str) -> str:
    """Return a text that identifies the key `key` without showing it."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"sha256:{digest[:KEY_DIGEST_DIGITS]}"


Meaning = Callable[[str, Any, Any], str]
"""Returns the meaning of a change from field, old and new value."""


def _compare_tenants(
    before: Sequence[Tenant], after: Sequence[Tenant]
) -> Iterator[Difference]:
    owners = {key: tenant.name for tenant in after for key in tenant.keys}
    former_owners = {key: tenant.name for tenant in before for key in tenant.keys}
    old, new = _by_name(before), _by_name(after)
    for name in sorted(old | new):
        yield from _compare_entry(
            "customer", name, old.get(name), new.get(name), _customer_meaning
        )
        old_keys = set(old[name].keys) if name in old else set()
        new_keys = set(new[name].keys) if name in new else set()
        yield from _compare_keys(name, old_keys, new_keys, former_owners, owners)


def _compare_keys(
    name: str,
    before: set[str],
    after: set[str],
    former_owners: Mapping[str, str],
    owners: Mapping[str, str],
) -> Iterator[Difference]:
    for key in sorted(before - after):
        meaning = "stops working within seconds"
        if key in owners:
            meaning = f"counts for customer {owners[key]} within seconds"
        yield Difference(
            "customer", name, Change.REMOVED, "keys", mask_key(key), "", meaning
        )
    for key in sorted(after - before):
        meaning = "works within seconds"
        if key in former_owners:
            meaning = f"counted for customer {former_owners[key]} before"
        yield Difference(
            "customer", name, Change.ADDED, "keys", "", mask_key(key), meaning
        )


def _compare(
    subject: str,
    before: Sequence[Route | Service],
    after: Sequence[Route | Service],
    meaning: Meaning,
) -> Iterator[Difference]:
    old, new = _by_name(before), _by_name(after)
    for name in sorted(old | new):
        yield from _compare_entry(subject, name, old.get(name), new.get(name), meaning)


def _compare_entry(
    subject: str, name: str, before: Any, after: Any, meaning: Meaning
) -> Iterator[Difference]:
    if before is None:
        text = meaning("", None, after)
        yield Difference(subject, name, Change.ADDED, meaning=text)
    elif after is None:
        text = meaning("", before, None)
        yield Difference(subject, name, Change.REMOVED, meaning=text)
    else:
        yield from _compare_fields(subject, name, before, after, meaning)


def _compare_fields(
    subject: str, name: str, before: Any, after: Any, meaning: Meaning
) -> Iterator[Difference]:
    old, new = dict(_flatten(before)), dict(_flatten(after))
    for field in sorted(old | new):
        values = old.get(field), new.get(field)
        if values[0] == values[1]:
            continue
        # A hint is the only part of an entry that one version may lack.
        change = Change.CHANGED
        if field not in old:
            change = Change.ADDED
        elif field not in new:
            change = Change.REMOVED
        former, latter = map(_value_text, values)
        text = meaning(field, *values)
        yield Difference(subject, name, change, field, former, latter, text)


def _flatten(entry: msgspec.Struct, prefix: str = "") -> Iterator[tuple[str, Any]]:
    """Yield the fields of an entry and of the objects in it, except its keys."""
    for name in entry.__struct_fields__:
        value = getattr(entry, name)
        if isinstance(value, msgspec.Struct):
            yield from _flatten(value, f"{prefix}{name}.")
        elif name not in ("name", "keys") and value is not None:
            yield prefix + name, value


def _by_name(entries: Iterable[Any]) -> dict[str, Any]:
    """Return the entries by name, further ones of a name with a number.

    They are numbered in the order of their content, so that the order in the file
    does not matter.
    """
    found: dict[str, Any] = {}
    for entry in sorted(entries, key=_sort_key):
        name, number = entry.name, 1
        while name in found:
            number += 1
            name = f"{entry.name}#{number}"
        found[name] = entry
    return found


def _sort_key(entry: Any) -> tuple[str, bytes]:
    keys = sorted(getattr(entry, "keys", ()))
    fields = sorted(_flatten(entry))
    return entry.name, msgspec.json.encode([fields, keys])


def _value_text(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()


def _customer_meaning(field: str, before: Any, after: Any) -> str:
    if not field:
        return "" if before is None else "its running jobs continue without a cap"
    if field.startswith("cap."):
        # 0 and less are no limit.
        if after > 0 and (before <= 0 or after < before):
            return "less than allowed before; what runs continues, starts wait"
        return "no limit any more" if after <= 0 < before else ""
    if field == "weight" and after < before:
        return "smaller share; more of its jobs come after those of others"
    return ""


def _queue_meaning(field: str, before: Any, after: Any) -> str:
    if not field:
        return (
            ""
            if before is None
            else "new requests no longer reach it; its jobs continue"
        )
    if field in ("host", "prefix"):
        return "requests to the former address no longer reach it"
    if field == "service":
        return f"moves: tasks start on servers of {after} from now on"
    if field == "public":
        return "requests need no key" if after else "requests need a key"
    if field in ("stretch", "slo_ms"):
        return "jobs have less time" if after < before else "jobs have more time"
    if field == "attempts":
        return "holds for new jobs"
    if field == "hint.valid_ms":
        return _advice_meaning(before or 0, after or 0)
    return ""


def _advice_meaning(before: float, after: float) -> str:
    if after <= 0 < before:
        return "starts no longer need advice"
    return "starts need advice" if before <= 0 < after else ""


def _limit_meaning(field: str, before: Any, after: Any) -> str:
    return "larger requests get 413" if after < before else ""


def _no_meaning(field: str, before: Any, after: Any) -> str:
    return ""
