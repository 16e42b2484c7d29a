"""Limits on the callers of a node."""

from lynxlanding.gateway import caller_guard
from lynxlanding.settings import vm_settings
from lynxlanding.transport import memory_budget


def create_caller_guard(settings, status):
    """Return the ``CallerGuard`` of a node's servers.

    Parameters
    ----------
    settings : VmSettings
        State the memory and the descriptors of the VM.
    status : NodeStatus
        Holds the configuration in force, whose limits apply once it is known.
    """
    budget = memory_budget.MemoryBudget(caller_guard.budget_bytes(settings.limits.memory_mb))
    initial_limits = caller_guard.fixed_limits(vm_settings.ServerLimits(0))

    def get_limits():
        configuration = status.configuration
        return initial_limits if configuration is None else configuration.limits

    return caller_guard.CallerGuard(
        budget, get_limits, settings.limits.max_fds, echoes_request_id=True
    )
