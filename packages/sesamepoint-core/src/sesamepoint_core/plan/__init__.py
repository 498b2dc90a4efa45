"""Planner of the roles of runners."""
