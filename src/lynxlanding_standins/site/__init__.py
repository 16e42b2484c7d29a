"""Stand-in for the users' platform: its store, engines that form groups, and a plain service.

Written from the published protocol; it keeps the protocol's names.
"""
