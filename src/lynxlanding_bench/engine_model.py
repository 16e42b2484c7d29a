"""Model of one engine for experiments with decision modules."""

import collections
import dataclasses

STORED = "stored"
EVICTED = "evicted"


@dataclasses.dataclass(slots=True, frozen=True)
class EngineShape:
    """Speed and size of the modelled engines.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    cache_prefixes : int
        Prefixes that the cache holds.
    miss_s, hit_s : float
        Time to the first token without and with the prefix in the cache, in seconds.
    """

    slots: int = 8
    cache_prefixes: int = 20
    miss_s: float = 0.4
    hit_s: float = 0.05


class EngineModel:
    """Slots with a first-in first-out queue, and a prefix cache with least-recent eviction.

    Parameters
    ----------
    address : str
        Name of the engine.
    shape : EngineShape
        Speed and size.
    slowness : float, optional
        Factor on all times; a straggler's is above 1.
    """

    def __init__(self, address, shape, slowness=1.0):
        self.address = address
        self.shape = shape
        self.slowness = slowness
        self.running = 0
        self.queue = collections.deque()
        self.cache_events = []
        self._cache = collections.OrderedDict()

    @property
    def load(self):
        """Running and waiting requests."""
        return self.running + len(self.queue)

    def start(self, prefix, decode_s):
        """Take a slot; returns whether the cache held the prefix, and both times in seconds.

        Returns
        -------
        tuple of (bool, float, float)
            Cache hit, time to the first token, time to the end.
        """
        self.running += 1
        hit = prefix is not None and self._touch(prefix)
        first_s = (self.shape.hit_s if hit else self.shape.miss_s) * self.slowness
        return hit, first_s, first_s + decode_s * self.slowness

    def finish(self):
        """Free a slot; returns the next waiting request, or None."""
        self.running -= 1
        return self.queue.popleft() if self.queue else None

    def cancel_waiting(self, request):
        """Remove a waiting request; returns whether it was waiting."""
        try:
            self.queue.remove(request)
        except ValueError:
            return False
        return True

    def _touch(self, prefix):
        if prefix in self._cache:
            self._cache.move_to_end(prefix)
            return True
        self._cache[prefix] = None
        self.cache_events.append((STORED, prefix))
        if len(self._cache) > self.shape.cache_prefixes:
            evicted, _ = self._cache.popitem(last=False)
            self.cache_events.append((EVICTED, evicted))
        return False
