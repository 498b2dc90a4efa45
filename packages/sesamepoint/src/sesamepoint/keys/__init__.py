"""Idempotency keys at run time: shard coordinators and their clients."""
