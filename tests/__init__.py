"""Tests of cassiaweir."""
