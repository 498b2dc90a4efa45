"""Tests of the decisions on the health of runners."""
