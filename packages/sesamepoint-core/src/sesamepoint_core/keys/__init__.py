"""Idempotency keys: which process may run a request, by the order of a log stream."""
