"""Tests of the admission library."""
