"""Tests of admission control."""
