"""Tests of the statements library."""
