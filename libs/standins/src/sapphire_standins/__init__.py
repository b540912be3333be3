"""Stand-ins of leaves and platform for tests and demonstrations."""
