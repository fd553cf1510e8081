"""Small trials of decisions, on an injected clock and with fixed seeds."""
