"""Membership of the nodes: gossip, failure detection and rendezvous hashing."""
