"""The agent: the only door to one upstream."""
