"""Compares the scheduling policy with simple baselines on a simulated clock."""
