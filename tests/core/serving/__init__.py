"""Tests of the decisions on a request."""
