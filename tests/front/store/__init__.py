"""Tests of an instance's reads and writes of the store."""
