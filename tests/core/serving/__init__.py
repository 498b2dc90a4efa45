"""Tests of the decisions on requests for upstreams."""
