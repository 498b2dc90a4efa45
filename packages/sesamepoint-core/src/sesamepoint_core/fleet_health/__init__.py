"""Health of each runner as known to all instances: reports, the ejection decision, probes and placement."""
