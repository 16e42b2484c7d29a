"""State of planned groups as their engines report it."""

from lynxlanding.fleet import group_membership


def is_member(group, view):
    """Return whether an engine reports that it belongs to the group."""
    if view is None or view.record is None:
        return False
    membership = view.record.membership
    return membership is not None and membership.belongs_to(group.name, group.epoch)


def is_ready(group, engines):
    """Return whether every member has joined and is ready."""
    for member in group.members:
        view = engines[member]
        if not is_member(group, view):
            return False
        if view.record.membership.state not in (group_membership.READY, group_membership.OPEN):
            return False
    return True


def is_dissolved(group, engines):
    """Return whether every reachable member has left the group."""
    for member in group.members:
        view = engines.get(member)
        if view is not None and view.is_present and not view.is_silent and is_member(group, view):
            return False
    return True


def is_complete(group, engines):
    """Return whether every member can be reached and still belongs to the group."""
    for member in group.members:
        view = engines.get(member)
        if view is None or not view.is_present or view.is_silent or not is_member(group, view):
            return False
    return True
