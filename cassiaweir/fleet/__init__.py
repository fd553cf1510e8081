"""Shards of VMs, their owners, and the workers that they drive."""
