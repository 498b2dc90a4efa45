"""Model of each engine: its lasting speed and pause relative to its service, and what passes."""
