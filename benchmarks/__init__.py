"""Measurements that the docs quote; none of them is a test."""
