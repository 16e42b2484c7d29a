"""Owner of the node list and of the published entries."""

import json
import logging
import time

import pykka

from lynxlanding.membership import exchange_schedule, gossip, scopes

_logger = logging.getLogger(__name__)


class MembershipActor(pykka.ThreadingActor):
    """Runs the gossip of one node.

    Other packages publish JSON documents under a key and read the documents of all live nodes.
    Entries of scope ``place`` reach the nodes of the own data centre in about two seconds.
    Entries of scope ``wide`` reach every node and cost each of them bandwidth, so they must
    change rarely or come from one node per data centre (see ``docs/membership.md``).

    Parameters
    ----------
    info : NodeInfo
        The own node.
    interval_s : float
        Interval between exchanges within the data centre.
    random_state : numpy.random.Generator
        Chooses peers.
    run_exchange : callable
        Called with the actor's proxy and a ``PlannedExchange``; must not block.
    """

    def __init__(self, info, interval_s, random_state, run_exchange):
        super().__init__()
        now = time.monotonic()
        self._gossip = gossip.Gossip(info, now)
        self._schedule = exchange_schedule.ExchangeSchedule(info, interval_s, random_state, now)
        self._run_exchange = run_exchange
        self._mark = None
        self._on_mark = None
        self._mark_source = None
        self._on_members = None
        self._subscribers = {}
        self._members = ()
        self._proxy = None

    def on_start(self):
        """Keep a proxy for the exchanges."""
        self._proxy = self.actor_ref.proxy()

    def connect(self, mark_source, on_mark, on_members):
        """Attach the propagation of the configuration.

        Parameters
        ----------
        mark_source : callable
            Returns the own ``Mark`` for monotonic seconds, or None; must not block.
        on_mark : callable
            Called with node, mark and sending time (None for a request) of each exchange.
        on_members : callable
            Called with the members when they change.
        """
        self._mark_source, self._on_mark, self._on_members = mark_source, on_mark, on_members

    def tick(self):
        """Advance the heartbeat and open the exchanges that are due."""
        now = time.monotonic()
        for record in self._gossip.tick(now):
            self._schedule.add_removed(record.info.address)
            for key in record.entries:
                self._notify(record.info.node_id, key, None)
        self._update_members()
        for planned in self._schedule.due(self._members, now):
            self._run_exchange(self._proxy, planned)

    def push(self, count):
        """Open exchanges with ``count`` peers at once."""
        for planned in self._schedule.pushes(self._members, count):
            self._run_exchange(self._proxy, planned)

    def set_seeds(self, addresses):
        """Replace the addresses known from the settings and the store."""
        self._schedule.set_seeds(addresses)

    def publish(self, key, document, scope):
        """Publish a JSON document of the own node under a key.

        Parameters
        ----------
        key : str
            Name of the value; it keeps its scope for the life of the process.
        document : object
            JSON document; None withdraws the key.
        scope : {"place", "wide"}
            How far it is disseminated.
        """
        if scope not in scopes.ALL:
            raise ValueError(f"unknown scope {scope!r}")
        value = b"" if document is None else json.dumps(document, separators=(",", ":")).encode()
        self._gossip.publish(key, value, scope)
        self._notify(self._gossip.info.node_id, key, value)

    def read(self, key):
        """Return the documents under a key by node; suspected nodes are left out."""
        documents = {}
        for record in self._gossip.table.records():
            item = record.entries.get(key)
            if item is None or not item.value or not record.is_live:
                continue
            document = _decode(item.value)
            if document is not None:
                documents[record.info.node_id] = document
        return documents

    def subscribe(self, key, callback):
        """Call ``callback(node_id, document)`` for each change of a key; None is a withdrawal."""
        self._subscribers.setdefault(key, []).append(callback)

    def members(self):
        """Return all known nodes as ``Member``, including the own one."""
        self._update_members()
        return self._members

    def open(self, scope):
        """Return the request of an exchange."""
        now = time.monotonic()
        return self._gossip.open(scope, now, self._current_mark(now))

    def answer(self, request):
        """Merge a request of another node; returns the response."""
        now = time.monotonic()
        response = self._gossip.answer(request, now, self._current_mark(now))
        self._after_merge()
        if request.mark is not None and self._on_mark is not None:
            self._on_mark(request.sender.node_id, request.mark, None)
        return response

    def merge_response(self, response, sent_at):
        """Merge the response to an own request; returns the push, or None."""
        now = time.monotonic()
        push = self._gossip.merge_response(response, now)
        self._after_merge()
        if response.mark is not None and self._on_mark is not None:
            self._on_mark(response.sender.node_id, response.mark, sent_at)
        return push

    def merge_push(self, push):
        """Merge the push that completes another node's exchange."""
        now = time.monotonic()
        self._gossip.merge_push(push, now)
        self._after_merge()

    def _current_mark(self, now):
        return None if self._mark_source is None else self._mark_source(now)

    def _after_merge(self):
        for node_id, item in self._gossip.take_changes():
            self._notify(node_id, item.key, item.value)
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
    """Return the document, or None if the key was withdrawn or another node sent no JSON."""
    if not value:
        return None
    try:
        return json.loads(value)
    except ValueError:
        _logger.warning("dropped an entry that is not JSON")
        return None
