"""Models of the engines: samples from requests, exchange with peers, logs and metrics."""
