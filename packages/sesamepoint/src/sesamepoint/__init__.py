"""The runtime: the entry and agent processes and what they share."""
