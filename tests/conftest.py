"""Settings of all tests."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("cassiaweir", deadline=None)
settings.load_profile("cassiaweir")
