"""Tests."""

from tests.hypothesis_profile import load_profile

load_profile()
