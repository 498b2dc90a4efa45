"""Agreement of processes: a deterministic fold over the records of the control log."""
