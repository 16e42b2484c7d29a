"""Adapter to the users' platform: wire names, message formats and calls, but no decisions.

The platform's terms machine, zone, tenant and back end (also server or instance) correspond to
VM, data centre, workspace and endpoint in the rest of the code.
"""
