"""Putting the parts of a process together."""
