"""Tests of the exchange of runner health, of probes and of the choice of plain runners."""
