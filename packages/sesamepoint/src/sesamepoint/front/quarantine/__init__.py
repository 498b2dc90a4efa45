"""Requests that end the runners that run them: detection, probes and quarantine."""
