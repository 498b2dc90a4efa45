"""The commands of ``sesamectl``, one module each."""
