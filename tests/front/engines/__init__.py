"""Tests of the queue for engines."""
