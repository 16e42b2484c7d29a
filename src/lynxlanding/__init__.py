"""Serving for large models whose replicas span several VMs."""
