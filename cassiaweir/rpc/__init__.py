"""The messages between cassiaweir's own processes and their generated code."""
