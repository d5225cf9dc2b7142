"""Tests of the base library."""
