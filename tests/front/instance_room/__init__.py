"""Tests of instances near their limits."""
