"""The aggregator daemon."""
