"""Settings of one process."""
