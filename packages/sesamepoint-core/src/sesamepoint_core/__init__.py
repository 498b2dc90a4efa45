"""Pure decisions: what a process concludes from what it has been told."""
