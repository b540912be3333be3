"""Platform-independent query gateway; one process runs on each VM."""
