"""Wiring of the limits of an instance: held bytes, descriptors and lag admission."""
