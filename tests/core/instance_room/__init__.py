"""Tests of the decisions on the room of an instance."""
