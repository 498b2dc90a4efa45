"""Decisions on requests for upstreams: accounts, routes, placement, runner health, deadlines."""
