"""Metrics of a front process, and the page that shows them."""
