"""Measures the policy against naive baselines, with an injected clock."""
