"""Tests of the groups library."""
