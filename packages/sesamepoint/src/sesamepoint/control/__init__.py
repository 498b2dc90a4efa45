"""Following the control log and acting on it."""
