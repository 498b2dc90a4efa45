"""Stand-ins for the users' platform: store, network, runners, callers and usage service."""
