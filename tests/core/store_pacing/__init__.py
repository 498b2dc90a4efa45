"""Tests of the decisions when failed calls to the store are repeated."""
