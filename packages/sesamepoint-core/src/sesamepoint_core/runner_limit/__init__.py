"""The limits that runners name: what is believed of them, and how instances share them."""
