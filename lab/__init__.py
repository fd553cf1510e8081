"""Measurements of what a cell costs, and comparisons of design alternatives."""
