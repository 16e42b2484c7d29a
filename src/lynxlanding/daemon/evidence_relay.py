"""Exchanges serving evidence with the other nodes of the data centre."""

import functools
import logging
import time

from lynxlanding.errors import membership as membership_errors
from lynxlanding.groups import evidence_summary
from lynxlanding.membership import member, scopes

# Clocks may drift by 1 in 1,000 between two readings, so evidence may appear up to 60 ms older than
# it is.
CLOCK_READ_INTERVAL_S = 60.0
NODE_REFRESH_INTERVAL_S = 0.5
_EVIDENCE_KEYS = (evidence_summary.REPORTS_KEY, evidence_summary.CONFIRMATION_KEY)

_logger = logging.getLogger(__name__)


class EvidenceRelay:
    """Publishes the probe results of this node and records those of other nodes.

    Parameters
    ----------
    fleet : pykka proxy of FleetController
        Receives and provides the evidence.
    membership : MembershipActor proxy
        Provides gossip and the member list.
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
        self._received_documents = []

    def start(self):
        """Subscribe to the evidence of the other nodes."""
        for key in _EVIDENCE_KEYS:
            callback = functools.partial(self._on_document, key)
            self._membership.subscribe(key, callback).get()

    def exchange(self, now):
        """Record the received evidence and publish the documents that are due."""
        received_documents, self._received_documents = self._received_documents, []
        self._fleet.record_relayed(received_documents, now).get()
        for key, document in self._fleet.evidence_documents(now).get().items():
            self._membership.publish(key, document, scopes.PLACE).get()

    def refresh_nodes(self):
        """Update the list of probing nodes, read the clocks that are due, then sleep."""
        addresses = {self._node_id: None}
        for node in self._membership.members().get():
            if node.place == self._place and node.state == member.LIVE:
                addresses[node.node_id] = node.address
        due = self._fleet.set_probing_nodes(
            tuple(addresses), time.monotonic(), CLOCK_READ_INTERVAL_S
        ).get()
        for node_id in due:
            sent_at = time.monotonic()
            try:
                clock_id, remote_at = self._clock_reader.read(addresses[node_id])
            except membership_errors.PeerUnreachable as e:
                # Evidence of a node with an unknown clock is not used; this node probes instead.
                _logger.info("cannot read the clock of %s: %s", node_id, e)
                continue
            self._fleet.record_clock(node_id, clock_id, sent_at, remote_at).get()
        time.sleep(NODE_REFRESH_INTERVAL_S)

    def _on_document(self, key, node_id, document):
        # Runs in the membership actor, which must not block; the next call of exchange records the
        # document.
        if node_id != self._node_id:
            self._received_documents.append((node_id, key, document))
