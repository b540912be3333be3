"""Decision logic without I/O, data classes and typed errors."""
