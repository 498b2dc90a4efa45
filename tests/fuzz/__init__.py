"""Stateful fuzzing of the real runtime over small fakes."""
