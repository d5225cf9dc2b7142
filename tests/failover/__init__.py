"""Tests of the failover library."""
