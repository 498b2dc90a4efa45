"""Soak of changing configurations before real processes."""
