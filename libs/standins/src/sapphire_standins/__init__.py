"""Simulated leaves, platform and VM list for tests and demonstrations."""
