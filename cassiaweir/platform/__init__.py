"""Clients of the platform's table, object store, VM list and workers."""
