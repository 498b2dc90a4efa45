"""Tests of the attribution of ended runners to parts of prompts."""
