"""Tests of the fair shares of work among accounts."""
