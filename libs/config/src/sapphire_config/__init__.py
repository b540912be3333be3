"""Validated models of the deployment document and process settings."""
