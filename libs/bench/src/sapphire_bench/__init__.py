"""Demonstration, load generator and reports for local fleets."""
