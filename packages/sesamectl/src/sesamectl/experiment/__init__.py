"""Experiments: the real decisions and runtime over stand-ins, in virtual time."""
