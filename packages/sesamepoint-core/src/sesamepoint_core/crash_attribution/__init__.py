"""Which part of their prompts ends the runners of requests, decided without I/O."""
