"""Teams: keys, and the allotments of their upper limits."""
