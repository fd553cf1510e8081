"""Trials: small measurements that decide between ways of doing a thing."""
