"""Tests of what speaks to the users' platform."""
