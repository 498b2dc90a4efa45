"""Tests of what is believed of runners by their own words."""
