"""Randomized runs of real gateway processes under faults from outside."""
