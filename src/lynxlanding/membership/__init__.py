"""Node list, gossip, failure detection and the peer transport."""
