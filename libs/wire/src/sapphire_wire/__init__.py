"""Messages and clients between processes."""
