"""Tests of the known status of runners."""
