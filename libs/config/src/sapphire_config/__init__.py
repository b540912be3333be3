"""Validated models of the deployment document and of daemon settings."""
