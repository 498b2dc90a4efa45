"""Tests of the origins of streams."""
