"""Idempotency keys: who may run a request, by the order of a log stream."""
