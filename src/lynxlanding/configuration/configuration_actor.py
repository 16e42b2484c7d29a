"""Owner of the accepted configuration on one node."""

import logging
import threading
import time

import pykka

from lynxlanding.configuration import propagation, propagation_decisions, revision_bundle
from lynxlanding.errors import base as errors_base
from lynxlanding.errors import configuration as configuration_errors

_logger = logging.getLogger(__name__)


class ConfigurationActor(pykka.ThreadingActor):
    """Carries out the decisions of ``propagation``.

    Store and peer calls run on threads, so that the actor never waits for either.

    Parameters
    ----------
    decider : Propagation
        The decisions.
    log : RevisionLog
        Revisions that the node holds; written by this actor only.
    fetcher : RevisionFetcher
        Loads revisions.
    watcher : HeadWatcher
        Reads the head.
    address_of : callable
        Returns the peer address of a node, or None.
    push : callable
        Called with a number of peers to exchange with at once.
    on_change : callable
        Called with each new snapshot, before the node counts as started.
    """

    def __init__(self, decider, log, fetcher, watcher, address_of, push, on_change):
        super().__init__()
        self._decider = decider
        self._log = log
        self._fetcher = fetcher
        self._watcher = watcher
        self._address_of = address_of
        self._push = push
        self._on_change = on_change
        self._fetched = {}
        self._unapplied = None
        self._watch_generation = 0
        self._proxy = None
        self._status = decider.status(time.monotonic())

    def on_start(self):
        """Keep a proxy for the threads."""
        self._proxy = self.actor_ref.proxy()

    def current(self):
        """Return the snapshot in effect."""
        return self._log.current.snapshot

    def status(self):
        """Return the ``PropagationStatus``."""
        return self._decider.status(time.monotonic())

    def tick(self):
        """Decide on overdue work; returns the ``PropagationStatus``."""
        now = time.monotonic()
        self._apply()
        self._carry_out(self._decider.on_tick(now))
        status = self._decider.status(now)
        if status.state != self._status.state:
            _logger.warning(
                "configuration is %s at revision %d (was %s)",
                status.state,
                status.number,
                self._status.state,
            )
        self._status = status
        return status

    def members_changed(self, members):
        """Take over the node list."""
        self._carry_out(self._decider.on_members(members, time.monotonic()))

    def mark_received(self, node_id, mark, sent_at):
        """Take over the mark of an exchange."""
        self._carry_out(self._decider.on_mark(node_id, mark, sent_at, time.monotonic()))

    def head_read(self, head, read_at):
        """Take over a ``Head`` that the store returned.

        Parameters
        ----------
        head : Head
            The head; its bundle is used if it leads from the revision in effect to the head's.
        read_at : float
            Monotonic seconds before the read was sent.
        """
        current = self._log.current
        if head.bundle is not None and head.number == current.number + 1:
            try:
                loaded = revision_bundle.load(head.bundle, current, head.digest, self._log.cache)
            except configuration_errors.InvalidObject as e:
                _logger.warning("the bundle of the configuration head is unusable: %s", e)
            else:
                self.fetched(loaded)
        now = time.monotonic()
        self._carry_out(self._decider.on_head(head.number, head.digest, read_at, now))

    def head_failed(self):
        """Note that the store could not be read."""
        self._carry_out(self._decider.on_head_failed(time.monotonic()))

    def fetched(self, loaded):
        """Take over a verified revision."""
        self._fetched[loaded.digest] = loaded
        now = time.monotonic()
        self._carry_out(self._decider.on_fetched(loaded.number, loaded.digest, now))
        self._fetched.clear()

    def fetch_failed(self, digest, source):
        """Note that a source could not provide a revision."""
        self._carry_out(self._decider.on_fetch_failed(digest, source, time.monotonic()))

    def _carry_out(self, decisions):
        for decision in decisions:
            match decision:
                case propagation_decisions.SetWatching():
                    self._set_watching(decision.is_watching)
                case propagation_decisions.ReadHead():
                    _start(self._watcher.read, self._proxy)
                case propagation_decisions.Fetch():
                    _start(self._fetch, decision)
                case propagation_decisions.Adopt():
                    loaded = self._fetched[decision.digest]
                    self._log.append(loaded)
                    self._unapplied = loaded.snapshot
                    self._apply()
                case propagation_decisions.Push():
                    self._push(decision.count)
                case propagation_decisions.Started():
                    _logger.info("configuration starts at revision %d", self._decider.number)

    def _apply(self):
        """Hand the newest snapshot over; a failure is repeated at the next tick."""
        if self._unapplied is None:
            return
        try:
            self._on_change(self._unapplied)
        except Exception:
            _logger.exception("cannot apply configuration revision %d", self._unapplied.revision)
            return
        self._unapplied = None

    def _set_watching(self, is_watching):
        self._watch_generation += 1
        if not is_watching:
            return
        generation = self._watch_generation
        _start(self._watcher.watch, self._proxy, lambda: self._watch_generation == generation)

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


def _start(target, *arguments):
    threading.Thread(target=target, args=arguments, daemon=True).start()


def make_decider(settings, random_state):
    """Return the ``Propagation`` of a node with ``DaemonSettings``."""
    return propagation.Propagation(
        settings.node_id, settings.place, settings.configuration, random_state, time.monotonic()
    )
