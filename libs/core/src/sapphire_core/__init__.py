"""Pure decisions, data classes and typed errors."""
