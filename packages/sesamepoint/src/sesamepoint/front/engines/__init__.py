"""Requests to model engines: placement, queue, sends announced to peers, prefill and decode."""
