"""Tests of the fleet library."""
