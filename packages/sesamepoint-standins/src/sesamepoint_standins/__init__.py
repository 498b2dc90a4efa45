"""Stand-ins for the platform and the upstreams, over sockets and in memory."""
