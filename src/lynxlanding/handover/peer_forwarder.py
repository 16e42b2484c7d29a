"""Selects the nodes that requests are handed over to, and counts these requests."""

from lynxlanding.handover import handed_over_request, helper_choice


class PeerForwarder:
    """Sends requests to nodes that reach endpoints.

    Parameters
    ----------
    node_id : str
        Id of this node.
    reachability : Reachability
        Whether this node reaches endpoints itself.
    get_helpers : callable
        Returns the list of ``Helper``.
    client : EndpointClient
        Sends the requests; its connections are used for nodes only.
    codec : module
        Provides ``encode_handed_over_headers`` and ``filter_response_headers``.
    serving : ServingActor proxy
        Owner of the retry budget.
    random_state : random.Random
        Selects helpers.
    """

    def __init__(self, node_id, reachability, get_helpers, client, codec, serving, random_state):
        self._node_id = node_id
        self._client = client
        self._codec = codec
        self._serving = serving
        self._reachability = reachability
        self._get_helpers = get_helpers
        self._random_state = random_state
        self._in_flight = {}
        self._total = 0

    @property
    def node_id(self):
        """Id of this node."""
        return self._node_id

    @property
    def client(self):
        """``EndpointClient`` whose connections are used for nodes only."""
        return self._client

    @property
    def codec(self):
        """Encodes the headers of requests and filters those of responses."""
        return self._codec

    @property
    def total(self):
        """Number of requests that were handed over."""
        return self._total

    def try_acquire_retry(self, service, now):
        """Consume one retry of this node's budget if available; return whether it was."""
        return self._serving.try_acquire_retry(service, now).get()

    def is_needed(self):
        """Return whether this node reaches no endpoint while another one does."""
        return self._reachability.is_cut and bool(self._get_helpers())

    def begin(self, request, may_have_run):
        """Return a ``HandedOverRequest``; ``may_have_run`` counts this node's attempts."""
        self._total += 1
        return handed_over_request.HandedOverRequest(self, request, may_have_run)

    def choose(self, excluded):
        """Return the ``Helper`` for a request and count it; None if there is none."""
        helper = helper_choice.choose(
            self._get_helpers(), excluded, self._in_flight, self._random_state
        )
        if helper is not None:
            self._in_flight[helper.node_id] = self._in_flight.get(helper.node_id, 0) + 1
        return helper

    def end(self, node_id):
        """Stop counting a request at a helper."""
        remaining = self._in_flight.get(node_id, 0) - 1
        if remaining > 0:
            self._in_flight[node_id] = remaining
            return
        self._in_flight.pop(node_id, None)

    def is_helping(self, node_id):
        """Return whether a node still reports that it takes requests."""
        return any(helper.node_id == node_id for helper in self._get_helpers())
