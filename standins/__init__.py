"""Simulated platform services for tests; cassiaweir never imports them."""
