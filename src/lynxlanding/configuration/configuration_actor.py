"""Actor that maintains the accepted configuration on one node."""

import logging
import threading
import time

import pykka

from lynxlanding.configuration import propagation, propagation_decisions, revision_bundle
from lynxlanding.errors import base as errors_base
from lynxlanding.errors import configuration as configuration_errors

_logger = logging.getLogger(__name__)


class ConfigurationActor(pykka.ThreadingActor):
    """Executes the decisions of ``Propagation``.

    Store and peer calls run on separate threads, so that they never block the actor.

    Parameters
    ----------
    node_propagation : Propagation
        Decides when to read, fetch and adopt revisions.
    log : RevisionLog
        Recent revisions of the node; only this actor appends to it.
    fetcher : RevisionFetcher
        Loads revisions.
    watcher : HeadWatcher
        Reads and watches the head in the store.
    address_of : callable
        Returns the peer address of a node, or None.
    push : callable
        Called with the number of peers to start gossip exchanges with immediately.
    on_change : callable
        Called with each new snapshot, before the node reports that it has started.
    """

    def __init__(self, node_propagation, log, fetcher, watcher, address_of, push, on_change):
        super().__init__()
        self._propagation = node_propagation
        self._log = log
        self._fetcher = fetcher
        self._watcher = watcher
        self._address_of = address_of
        self._push = push
        self._on_change = on_change
        self._fetched_revisions = {}
        self._pending_snapshot = None
        self._watch_generation = 0
        self._proxy = None
        self._status = node_propagation.status(time.monotonic())

    def on_start(self):
        """Create the proxy that threads report their results to."""
        self._proxy = self.actor_ref.proxy()

    def current(self):
        """Return the current snapshot."""
        return self._log.current.snapshot

    def status(self):
        """Return the ``PropagationStatus``."""
        return self._propagation.status(time.monotonic())

    def tick(self):
        """Start overdue reads and fetches; returns the ``PropagationStatus``."""
        now = time.monotonic()
        self._apply()
        self._execute(self._propagation.on_tick(now))
        status = self._propagation.status(now)
        if status.state != self._status.state:
            _logger.warning(
                "configuration state is %s at revision %d (previously %s)",
                status.state,
                status.number,
                self._status.state,
            )
        self._status = status
        return status

    def members_changed(self, members):
        """Process a changed member list."""
        self._execute(self._propagation.on_members(members, time.monotonic()))

    def revision_report_received(self, node_id, revision_report, sent_at):
        """Process the revision report of a gossip exchange."""
        self._execute(
            self._propagation.on_revision_report(
                node_id, revision_report, sent_at, time.monotonic()
            )
        )

    def head_read(self, head, read_at):
        """Process a ``Head`` that the store returned.

        Parameters
        ----------
        head : Head
            The head; its bundle is applied if the head is one revision ahead of the current one.
        read_at : float
            Monotonic seconds before the read was sent.
        """
        current = self._log.current
        if head.bundle is not None and head.number == current.number + 1:
            try:
                loaded = revision_bundle.load(head.bundle, current, head.digest, self._log.cache)
            except configuration_errors.InvalidObject as e:
                _logger.warning("invalid bundle in the configuration head: %s", e)
            else:
                self.fetched(loaded)
        now = time.monotonic()
        self._execute(self._propagation.on_head(head.number, head.digest, read_at, now))

    def head_failed(self):
        """Process a failed read of the head."""
        self._execute(self._propagation.on_head_failed(time.monotonic()))

    def fetched(self, loaded):
        """Process a loaded and verified revision."""
        self._fetched_revisions[loaded.digest] = loaded
        now = time.monotonic()
        self._execute(self._propagation.on_fetched(loaded.number, loaded.digest, now))
        self._fetched_revisions.clear()

    def fetch_failed(self, digest, source):
        """Process a failed fetch from a source."""
        self._execute(self._propagation.on_fetch_failed(digest, source, time.monotonic()))

    def _execute(self, decisions):
        for decision in decisions:
            match decision:
                case propagation_decisions.SetWatching():
                    self._set_watching(decision.is_watching)
                case propagation_decisions.ReadHead():
                    _start_thread(self._watcher.read, self._proxy)
                case propagation_decisions.Fetch():
                    _start_thread(self._fetch, decision)
                case propagation_decisions.Adopt():
                    loaded = self._fetched_revisions[decision.digest]
                    self._log.append(loaded)
                    self._pending_snapshot = loaded.snapshot
                    self._apply()
                case propagation_decisions.StartExchanges():
                    self._push(decision.count)
                case propagation_decisions.Started():
                    _logger.info("configuration is ready at revision %d", self._propagation.number)

    def _apply(self):
        """Pass the newest snapshot to ``on_change``; retried at the next tick if that fails."""
        if self._pending_snapshot is None:
            return
        try:
            self._on_change(self._pending_snapshot)
        except Exception:
            _logger.exception(
                "cannot apply configuration revision %d", self._pending_snapshot.revision
            )
            return
        self._pending_snapshot = None

    def _set_watching(self, is_watching):
        self._watch_generation += 1
        if not is_watching:
            return
        generation = self._watch_generation
        _start_thread(
            self._watcher.watch, self._proxy, lambda: self._watch_generation == generation
        )

    def _fetch(self, fetch):
        address = None
        if fetch.source != propagation_decisions.STORE:
            address = self._address_of(fetch.source)
        try:
            loaded = self._fetcher.fetch(fetch.source, address, fetch.digest)
        except errors_base.LynxlandingError as e:
            _logger.info("cannot fetch revision %d from %r: %s", fetch.number, fetch.source, e)
            self._proxy.fetch_failed(fetch.digest, fetch.source)
            return
        self._proxy.fetched(loaded)


def _start_thread(target, *arguments):
    threading.Thread(target=target, args=arguments, daemon=True).start()


def make_propagation(settings, random_state):
    """Return the ``Propagation`` of a node, from its ``DaemonSettings``."""
    return propagation.Propagation(
        settings.node_id, settings.place, settings.configuration, random_state, time.monotonic()
    )
