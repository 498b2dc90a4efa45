"""Connections between the processes."""
