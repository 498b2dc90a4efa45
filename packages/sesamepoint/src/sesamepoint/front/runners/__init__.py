"""Runners known to this instance: registration, status, rate limits, and which of them a request may go to."""
