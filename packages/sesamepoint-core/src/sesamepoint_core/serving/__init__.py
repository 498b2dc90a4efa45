"""Decisions on a request for an upstream: route, path, retries, deadlines."""
