"""Estimators, merge and use of the engine models."""
