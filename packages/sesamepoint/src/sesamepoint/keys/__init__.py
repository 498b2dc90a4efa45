"""Idempotency keys at run time: homes that gather claims, and their askers."""
