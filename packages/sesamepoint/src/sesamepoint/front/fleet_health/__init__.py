"""Exchange of runner health between instances, probes of ejected runners, and the choice of plain runners."""
