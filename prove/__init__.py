"""Runs real processes under failures and checks the recorded history."""
