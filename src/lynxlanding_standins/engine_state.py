"""State of one stand-in engine: slots, queue, prefix cache and orders."""

import asyncio
import collections
import heapq
import itertools
import uuid

PREFIX_CHARACTERS = 256


class EngineState:
    """One engine.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    queue_limit : int
        Waiting requests above which further ones are refused.
    cache_prefixes : int
        Prefixes that the cache holds.
    checks_fencing_number : bool
        Whether an order with a stale fencing number is rejected.
    """

    def __init__(self, slots, queue_limit, cache_prefixes, checks_fencing_number):
        self.instance = uuid.uuid4().hex
        self.slots = slots
        self.queue_limit = queue_limit
        self.running = 0
        self.draining = False
        self.model = None
        self.version = None
        self.adapters = []
        self.group = None
        self.epoch = 0
        self.down = False
        self.token_delay_factor = 1.0
        self.stall = False
        self.cache_events = collections.deque(maxlen=1000)
        self._checks = checks_fencing_number
        self._highest_fencing_number = 0
        self._waiting = []
        self._order = itertools.count()
        self._cache = collections.OrderedDict()
        self._cache_prefixes = cache_prefixes
        self._cache_sequence = itertools.count(1)

    @property
    def queued(self):
        """Number of waiting requests."""
        return len(self._waiting)

    def report(self):
        """Return the load report."""
        return {
            "instance": self.instance,
            "slots": self.slots,
            "running": self.running,
            "queued": self.queued,
            "draining": self.draining,
            "model": self.model,
            "version": self.version,
            "adapters": self.adapters,
            "group": self.group,
            "epoch": self.epoch,
        }

    async def acquire(self, priority):
        """Wait for a slot; more urgent requests go first."""
        if self.running < self.slots and not self._waiting:
            self.running += 1
            return
        ready = asyncio.get_running_loop().create_future()
        entry = (-priority, next(self._order), ready)
        heapq.heappush(self._waiting, entry)
        try:
            await ready
        except asyncio.CancelledError:
            if ready.done() and not ready.cancelled():
                self.release()
            else:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    def release(self):
        """Give the slot to the most urgent waiting request."""
        while self._waiting:
            _, _, ready = heapq.heappop(self._waiting)
            if not ready.done():
                ready.set_result(None)
                return
        self.running -= 1

    def touch_prefix(self, prompt):
        """Cache the prompt's prefix; return whether it was cached already."""
        prefix = prompt[:PREFIX_CHARACTERS]
        hit = prefix in self._cache
        self._cache[prefix] = True
        self._cache.move_to_end(prefix)
        if not hit:
            self._publish("stored", prefix)
        if len(self._cache) > self._cache_prefixes:
            evicted, _ = self._cache.popitem(last=False)
            self._publish("evicted", evicted)
        return hit

    def apply_order(self, order):
        """Apply an order; return False if its fencing number is stale."""
        number = order.get("fencing_number", 0)
        if self._checks and number < self._highest_fencing_number:
            return False
        self._highest_fencing_number = max(self._highest_fencing_number, number)
        kind = order["order"]
        if kind == "drain":
            self.draining = True
        if kind == "undrain":
            self.draining = False
        if kind in ("load", "role"):
            self.model = order.get("model", self.model)
            self.version = order.get("version", self.version)
            self.adapters = order.get("adapters", self.adapters)
            self.group = order.get("group", self.group)
            self.epoch = order.get("epoch", self.epoch)
        return True

    def _publish(self, kind, prefix):
        self.cache_events.append(
            {"sequence": next(self._cache_sequence), "type": kind, "prefix": prefix}
        )
