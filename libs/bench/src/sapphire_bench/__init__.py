"""Demonstration, load tool and reports."""
