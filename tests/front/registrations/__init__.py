"""Registrations of runners that arrive late, and runners that leave or come back."""
