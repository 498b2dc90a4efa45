"""Adapters to the platform's services."""
