"""Actor that owns the list of known nodes and the published entries."""

import json
import logging
import time

import pykka

from lynxlanding.membership import exchange_schedule, gossip, scopes

_logger = logging.getLogger(__name__)


class MembershipActor(pykka.ThreadingActor):
    """Runs the gossip protocol on this node.

    Other packages publish JSON documents under a key and read the documents of all live nodes.
    Entries of scope ``place`` reach the nodes of the local data centre in about two seconds.
    Entries of scope ``wide`` reach every node and use bandwidth on each of them, so they must
    change rarely or come from one node per data centre (see ``docs/membership.md``).

    Parameters
    ----------
    info : NodeInfo
        The local node.
    interval_s : float
        Interval between exchanges within the data centre.
    random_state : numpy.random.Generator
        Selects peers.
    run_exchange : callable
        Called with the proxy of the actor and a ``PlannedExchange``; must not block.
    """

    def __init__(self, info, interval_s, random_state, run_exchange):
        super().__init__()
        now = time.monotonic()
        self._gossip = gossip.Gossip(info, now)
        self._schedule = exchange_schedule.ExchangeSchedule(info, interval_s, random_state, now)
        self._run_exchange = run_exchange
        self._revision_report = None
        self._on_revision_report = None
        self._get_revision_report = None
        self._on_members = None
        self._subscribers = {}
        self._members = ()
        self._proxy = None

    def on_start(self):
        """Create the proxy that is passed to exchanges."""
        self._proxy = self.actor_ref.proxy()

    def register_callbacks(self, get_revision_report, on_revision_report, on_members):
        """Register the callbacks of configuration propagation.

        Parameters
        ----------
        get_revision_report : callable
            Called with monotonic seconds; returns the ``RevisionReport`` of this node, or None.
            Must not block.
        on_revision_report : callable
            Called for each received revision report with the node id, the report and the time at
            which this node sent the request that the report answers; the time is None for the
            report of a request.
        on_members : callable
            Called with the tuple of members when it changes.
        """
        self._get_revision_report, self._on_revision_report, self._on_members = (
            get_revision_report,
            on_revision_report,
            on_members,
        )

    def tick(self):
        """Increment the heartbeat, detect failed nodes and start the exchanges that are due."""
        now = time.monotonic()
        for record in self._gossip.tick(now):
            self._schedule.add_removed_address(record.info.address)
            for key in record.entries:
                self._notify(record.info.node_id, key, None)
        self._update_members()
        for planned in self._schedule.due_exchanges(self._members, now):
            self._run_exchange(self._proxy, planned)

    def exchange_immediately(self, count):
        """Start exchanges with ``count`` peers immediately."""
        for planned in self._schedule.immediate_exchanges(self._members, count):
            self._run_exchange(self._proxy, planned)

    def set_seeds(self, addresses):
        """Replace the seed addresses, which come from the settings and the store."""
        self._schedule.set_seeds(addresses)

    def publish(self, key, document, scope):
        """Publish a JSON document of this node under a key.

        Parameters
        ----------
        key : str
            Name of the value. Its scope must not change while the process runs.
        document : object
            JSON document; None deletes the value.
        scope : {"place", "wide"}
            Whether the value reaches the nodes of the local data centre or all nodes.
        """
        if scope not in scopes.ALL:
            raise ValueError(f"unknown scope {scope!r}")
        value = b"" if document is None else json.dumps(document, separators=(",", ":")).encode()
        self._gossip.publish(key, value, scope)
        self._notify(self._gossip.info.node_id, key, value)

    def read(self, key):
        """Return the documents under a key by node id, without those of suspected nodes."""
        documents = {}
        for record in self._gossip.table.records():
            published_entry = record.entries.get(key)
            if published_entry is None or not published_entry.value or not record.is_live:
                continue
            document = _decode(published_entry.value)
            if document is not None:
                documents[record.info.node_id] = document
        return documents

    def subscribe(self, key, callback):
        """Call ``callback(node_id, document)`` for each change of a key; None means deleted."""
        self._subscribers.setdefault(key, []).append(callback)

    def members(self):
        """Return all known nodes as ``Member``, including the local node."""
        self._update_members()
        return self._members

    def create_request(self, scope):
        """Return the request that starts an exchange."""
        now = time.monotonic()
        return self._gossip.create_request(scope, now, self._current_revision_report(now))

    def handle_request(self, request):
        """Merge a request from another node and return the response."""
        now = time.monotonic()
        response = self._gossip.handle_request(request, now, self._current_revision_report(now))
        self._notify_changes()
        if request.revision_report is not None and self._on_revision_report is not None:
            self._on_revision_report(request.sender.node_id, request.revision_report, None)
        return response

    def merge_response(self, response, sent_at):
        """Merge the response to a request of this node; return the push, or None."""
        now = time.monotonic()
        push = self._gossip.merge_response(response, now)
        self._notify_changes()
        if response.revision_report is not None and self._on_revision_report is not None:
            self._on_revision_report(response.sender.node_id, response.revision_report, sent_at)
        return push

    def merge_push(self, push):
        """Merge the push that completes an exchange started by another node."""
        now = time.monotonic()
        self._gossip.merge_push(push, now)
        self._notify_changes()

    def _current_revision_report(self, now):
        return None if self._get_revision_report is None else self._get_revision_report(now)

    def _notify_changes(self):
        for node_id, published_entry in self._gossip.take_merged_entries():
            self._notify(node_id, published_entry.key, published_entry.value)
        self._update_members()

    def _notify(self, node_id, key, value):
        callbacks = self._subscribers.get(key)
        if not callbacks:
            return
        document = _decode(value)
        for callback in callbacks:
            callback(node_id, document)

    def _update_members(self):
        members = self._gossip.members()
        if members is self._members:
            return
        self._members = members
        if self._on_members is not None:
            self._on_members(members)


def _decode(value):
    """Return the document, or None if the value was deleted or is not valid JSON."""
    if not value:
        return None
    try:
        return json.loads(value)
    except ValueError:
        _logger.warning("ignored a gossip entry that is not valid JSON")
        return None
