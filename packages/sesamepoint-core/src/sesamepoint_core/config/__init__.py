"""Configuration: its model and its checks."""
