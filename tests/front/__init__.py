"""Tests of the front process on stand-ins of the platform, in virtual time."""
