"""Room of one instance: limits, held bytes, descriptors, lag and admission."""
