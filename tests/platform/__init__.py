"""Tests of the platform library."""
