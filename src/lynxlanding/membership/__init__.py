"""Cluster membership: gossip, failure detection and rendezvous hashing."""
