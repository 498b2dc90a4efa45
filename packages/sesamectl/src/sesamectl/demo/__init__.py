"""The demo: both deployments with stand-ins, over real sockets, in one process."""
