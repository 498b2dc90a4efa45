"""Claims of idempotency keys, in the order of a log stream."""
