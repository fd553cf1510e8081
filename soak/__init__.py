"""Randomized soak test: real entry VM processes under externally injected faults.

Run it with `python -m soak --seeds 1..50`.
"""
