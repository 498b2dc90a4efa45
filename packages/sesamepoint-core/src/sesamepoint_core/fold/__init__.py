"""Deterministic state machine over the records of the control log."""
