"""Tests of the proxy library."""
