"""Requests to backend servers: slots, claims and routing."""
