"""Tests of the decision how a body ended."""
