"""Messages, channels and clients for communication between processes."""
