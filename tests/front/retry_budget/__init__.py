"""Tests of the retry budget of all instances together."""
