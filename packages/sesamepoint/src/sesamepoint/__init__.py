"""The runtime: the front, entry and agent processes and their shared modules."""
