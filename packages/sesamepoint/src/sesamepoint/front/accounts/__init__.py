"""Client accounts: admission by key, usage counts, and their report under a lease."""
