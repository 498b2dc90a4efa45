"""Agreement: the deterministic fold over the control log."""
