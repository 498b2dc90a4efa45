"""Topics of the platform's store: polling, updates from peers, registration."""
