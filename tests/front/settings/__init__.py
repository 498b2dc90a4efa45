"""Tests of settings that change while a process runs."""
