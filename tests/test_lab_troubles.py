"""Tests of the table of troubles that is made from the journal."""

from __future__ import annotations

import msgspec

from lab.troubles import count_days, read_entries, render


def test_days_are_counted_by_trouble_and_site_and_broken_ones_named(tmp_path):
    entries = {
        "1.json": {
            "id": "aa",
            "site": "one",
            "days": [
                {"name": "trouble-1", "seed": 5, "troubles": ["zone_cut", "burst"]},
                {
                    "name": "hunt",
                    "seed": 6,
                    "troubles": ["burst"],
                    "rules": {"LOST": 1},
                },
            ],
        },
        "2.json": {"id": "bb", "site": "two", "days": None, "error": "did not finish"},
        "3.json": {
            "id": "cc",
            "site": "two",
            "days": [{"troubles": ["zone_cut"], "rules": {}, "fault": None}],
        },
    }
    for name, entry in entries.items():
        (tmp_path / name).write_bytes(msgspec.json.encode(entry))
    assert render(count_days(read_entries(tmp_path))).splitlines() == [
        "| trouble | one | two |",
        "| --- | --- | --- |",
        "| `burst` | 2; hunt 6 (aa): LOST | 0 |",
        "| `zone_cut` | 1 | 1 |",
    ]
