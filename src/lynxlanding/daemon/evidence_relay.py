"""Exchanges serving evidence with the other nodes of the data centre."""

import functools
import logging
import time

from lynxlanding.errors import membership as membership_errors
from lynxlanding.groups import evidence_summary
from lynxlanding.membership import member, scopes

# Between two readings, clocks may drift apart by 1 in 1,000, which makes evidence look up to 60 ms
# older than it is.
CLOCK_INTERVAL_S = 60.0
NODES_INTERVAL_S = 0.5
_KEYS = (evidence_summary.REPORTS_KEY, evidence_summary.CONFIRMATION_KEY)

_logger = logging.getLogger(__name__)


class EvidenceRelay:
    """Publishes this node's probe results and takes over those of others.

    Parameters
    ----------
    fleet : pykka proxy of FleetController
        Decisions.
    membership : MembershipActor proxy
        Gossip and the list of nodes.
    clock_reader : HttpClockReader
        Reads the clocks of other nodes.
    node_id, place : str
        This node and its data centre.
    """

    def __init__(self, fleet, membership, clock_reader, node_id, place):
        self._fleet = fleet
        self._membership = membership
        self._clock_reader = clock_reader
        self._node_id = node_id
        self._place = place
        self._received = []

    def start(self):
        """Subscribe to the documents of the others."""
        for key in _KEYS:
            callback = functools.partial(self._on_document, key)
            self._membership.subscribe(key, callback).get()

    def exchange(self, now):
        """Take over what arrived, and publish what is due."""
        received, self._received = self._received, []
        self._fleet.record_relayed(received, now).get()
        for key, document in self._fleet.evidence_documents(now).get().items():
            self._membership.publish(key, document, scopes.PLACE).get()

    def follow_nodes(self):
        """Take over the node list, read the clocks that are due, and wait for the next round."""
        addresses = {self._node_id: None}
        for item in self._membership.members().get():
            if item.place == self._place and item.state == member.LIVE:
                addresses[item.node_id] = item.address
        due = self._fleet.set_probing_nodes(
            tuple(addresses), time.monotonic(), CLOCK_INTERVAL_S
        ).get()
        for node_id in due:
            sent_at = time.monotonic()
            try:
                clock, remote_at = self._clock_reader.read(addresses[node_id])
            except membership_errors.PeerUnreachable as e:
                # Without its clock the node's evidence does not count; this node probes instead.
                _logger.info("cannot read the clock of %s: %s", node_id, e)
                continue
            self._fleet.record_clock(node_id, clock, sent_at, remote_at).get()
        time.sleep(NODES_INTERVAL_S)

    def _on_document(self, key, node_id, document):
        # Called by the membership actor, which must not wait; the next exchange takes it over.
        if node_id != self._node_id:
            self._received.append((node_id, key, document))
