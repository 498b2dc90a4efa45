"""Tests of the fair shares of capacity at instances."""
