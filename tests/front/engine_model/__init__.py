"""Models of the engines in a deployment of stand-ins."""
