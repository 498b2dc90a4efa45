"""Settings of entry and agent processes."""
