"""Tests of the bench library."""
