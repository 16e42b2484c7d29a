"""Tests that requests avoid groups which cannot work on them."""

import dataclasses

from lynxlanding.dispatch import dispatch_decision
from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.fleet import group_membership


def make_group(number):
    """Return the head and the other member of a group."""
    head = dispatch_factories.make_head(2 * number)
    membership = group_membership.GroupMembership(head.membership.name, 1, 1, "ready")
    member = dataclasses.replace(
        dispatch_factories.make_head(2 * number + 1), membership=membership
    )
    return head, member


class Fleet:
    """Two groups of two engines."""

    def __init__(self):
        self.records = [*make_group(0), *make_group(1)]
        self.dispatcher, self.registry = dispatch_factories.make_dispatcher(self.records)
        self.beats = 0

    def change(self, endpoint_id, **fields):
        """Register an engine anew."""
        self.beats += 1
        for record in self.records:
            if record.endpoint_id == endpoint_id:
                changed = dataclasses.replace(record, heartbeat_number=self.beats, **fields)
        self.dispatcher.apply(self.registry.apply_changes([changed], [], 1.0))

    def chosen(self):
        """Return the ids of the heads that get requests."""
        chosen = set()
        for _ in range(8):
            decision = self.dispatcher.choose(dispatch_factories.make_query(), 1.0)
            if isinstance(decision, dispatch_decision.Send):
                chosen.add(decision.record.endpoint_id)
        return chosen


def test_head_whose_member_has_left_gets_no_requests():
    """Guards against callers that wait at a head which has no group any more."""
    fleet = Fleet()
    assert fleet.chosen() == {"e0", "e2"}
    fleet.change("e1", membership=None)
    assert fleet.chosen() == {"e2"}
    fleet.change("e3", membership=group_membership.GroupMembership("g9", 2, 0, "joining"))
    assert fleet.chosen() == set()


def test_head_whose_member_has_restarted_gets_no_requests():
    """Guards against a member that is back without its group before its lapse was seen."""
    fleet = Fleet()
    fleet.change("e1", membership=None, started_ms=2)
    assert fleet.chosen() == {"e2"}


def test_head_gets_requests_once_its_member_is_back():
    """Guards against groups that stay out of use."""
    fleet = Fleet()
    fleet.change("e1", membership=None)
    fleet.change("e1")
    assert fleet.chosen() == {"e0", "e2"}


def test_next_group_of_a_head_gets_requests():
    """Guards against engines that stay out of use because their last group was incomplete."""
    fleet = Fleet()
    fleet.change("e1", membership=None)
    fleet.change("e0", membership=group_membership.GroupMembership("g7", 2, 0, "open"))
    assert fleet.chosen() == {"e0", "e2"}


def test_member_without_a_registration_does_not_count_as_gone():
    """Guards against sound groups that get nothing because a member is cut from the store."""
    fleet = Fleet()
    fleet.dispatcher.apply(fleet.registry.apply_changes([], ["e1"], 1.0))
    assert fleet.chosen() == {"e0", "e2"}
