"""Tests of the settings library."""
