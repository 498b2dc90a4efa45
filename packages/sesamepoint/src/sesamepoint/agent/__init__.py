"""Agent of one upstream."""
