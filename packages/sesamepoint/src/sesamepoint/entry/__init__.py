"""HTTP interface for callers: request parsing, admission and idempotency keys."""
