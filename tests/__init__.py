"""Tests that start several processes."""
