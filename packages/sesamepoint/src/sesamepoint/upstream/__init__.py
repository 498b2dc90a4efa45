"""Adapters to the upstreams: model engines and plain services."""
