"""State of the revision fetch: target revision, its sources and the running fetch."""

from lynxlanding.configuration import propagation_decisions

FETCH_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.3


class FetchState:
    """Schedules one fetch at a time, of the highest revision offered so far.

    Parameters
    ----------
    random_state : numpy.random.Generator
        Selects a peer among those that hold the revision, and randomises the retry delay.
    """

    def __init__(self, random_state):
        self._random = random_state
        self._target = (0, "")
        self._sources = []
        self._running = None
        self._running_since = 0.0
        self._retry_at = 0.0

    @property
    def target_number(self):
        """Number of the highest revision offered so far."""
        return self._target[0]

    def offer(self, number, digest, source):
        """Record that a source holds a revision; a higher number replaces the target."""
        if number > self._target[0]:
            self._target = (number, digest)
            self._sources = []
        if (number, digest) == self._target and source not in self._sources:
            self._sources.append(source)

    def finish(self, digest):
        """Record that the fetch of a digest has succeeded."""
        if self._running == digest:
            self._running = None

    def fail(self, digest, source, now):
        """Remove the source of a failed fetch and delay the next one; the store stays usable."""
        if digest == self._target[1] and source in self._sources:
            self._sources.remove(source)
        if self._running == digest:
            self._running = None
            self._retry_at = now + RETRY_DELAY_S * (0.5 + self._random.random())

    def next_fetch(self, current_number, now):
        """Return a list with the fetch to start now, or an empty list.

        A fetch that runs longer than ``FETCH_TIMEOUT_S`` is replaced. Peers are preferred over
        the store.
        """
        number, digest = self._target
        if number <= current_number:
            return []
        if self._running is not None:
            if now - self._running_since < FETCH_TIMEOUT_S:
                return []
            self._retry_at = now
        if now < self._retry_at:
            return []
        self._running, self._running_since = digest, now
        peers = [source for source in self._sources if source != propagation_decisions.STORE]
        source = propagation_decisions.STORE
        if peers:
            source = peers[int(self._random.integers(len(peers)))]
        return [propagation_decisions.Fetch(number, digest, source)]
