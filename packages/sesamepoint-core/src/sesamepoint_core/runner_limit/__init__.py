"""Rate limits that runners report: their known state, and how instances share them."""
