"""Adapter to the users' platform: names, formats and calls, and no decisions.

The platform says machine, zone, tenant and back end (or server, instance) for what the code calls
VM, data centre, workspace and endpoint.
"""
