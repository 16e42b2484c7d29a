"""Which revision is being fetched, and from whom."""

from lynxlanding.configuration import propagation_decisions

FETCH_TIMEOUT_S = 3.0
RETRY_S = 0.3


class FetchState:
    """One fetch at a time, of the highest revision that was offered.

    Parameters
    ----------
    random_state : numpy.random.Generator
        Chooses among the peers that hold the revision.
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
        """Highest revision that was offered."""
        return self._target[0]

    def offer(self, number, digest, source):
        """Note that a source holds a revision."""
        if number > self._target[0]:
            self._target = (number, digest)
            self._sources = []
        if (number, digest) == self._target and source not in self._sources:
            self._sources.append(source)

    def finish(self, digest):
        """Note that a fetch has ended."""
        if self._running == digest:
            self._running = None

    def fail(self, digest, source, now):
        """Drop a source; the store may be tried again."""
        if digest == self._target[1] and source in self._sources:
            self._sources.remove(source)
        if self._running == digest:
            self._running = None
            self._retry_at = now + RETRY_S * (0.5 + self._random.random())

    def next_fetch(self, held, now):
        """Return the fetch to start now, as a list of at most one decision."""
        number, digest = self._target
        if number <= held:
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
