"""The query tier as one process for each VM, without names of a platform."""
