"""Bounded queue in front of one pool of endpoints."""

import bisect
import math

from lynxlanding.admission import _fair_scheduler, _service_time, decision, rate_meter

QUEUE_LIMIT = 512
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 300.0

# Refused callers are told to return at this fraction of the completion rate, one after the other.
# If all returned after the current wait, they would meet a full queue again: at twice the capacity
# retries were 60% of all requests, and the overload went on after its cause had ended. With a fifth
# it lasted 30 s longer, with a tenth a few seconds.
RETURN_FRACTION = 0.1

# Without any endpoint there is no completion rate; a restart of an endpoint takes a few seconds.
NO_CAPACITY_RETRY_AFTER_S = 5.0

# A request may always wait for this fraction of the time beyond the mean service time. Otherwise,
# when service times vary much, no request is queued at all, and requests in excess take each free
# slot from those within share.
MIN_WAIT_FRACTION = 0.25

# Requests within share may exceed the limit by this factor: the limits of the nodes follow their
# demand late, and the shares bound the sum over all nodes. Without it, a node with 5% more requests
# within share than its part of the slots refuses some, and a workspace that sends more than its
# share replaces its refused requests by others while one that does not loses them.
WITHIN_SHARE_FACTOR = 1.25

# Callers that were refused at the same time on several nodes must not return together.
RETRY_AFTER_SPREAD = 0.25


class AdmissionQueue:
    """Admits requests up to a limit, queues a bounded number and refuses the rest at once.

    Order: requests within share first, then priority, then the fair order of the workspaces, which
    is the order of arrival for each workspace. A request is queued only if
    it most likely completes in time after its estimated wait: requests that start with the mean
    service time left waste the capacity of those that do not complete. It is refused later if its
    wait and the mean service time exceed the time left, for instance when more urgent requests
    pass it.

    Parameters
    ----------
    limit : int
        Requests in flight at once.
    random_state : numpy.random.Generator
        Spreads ``Retry-After``.
    queue_limit : int, optional
        Requests that wait at once.
    """

    def __init__(self, limit, random_state, queue_limit=QUEUE_LIMIT):
        self._limit = limit
        self._random_state = random_state
        self._queue_limit = queue_limit
        self._entries = []
        self._keys = {}
        self._requests = {}
        self._started = {}
        self._last_return_at = 0.0
        self._sequence = 0
        self._orders = {True: _fair_scheduler.FairOrder(), False: _fair_scheduler.FairOrder()}
        self._service_time = _service_time.ServiceTimeEstimate()
        self._within_rate = rate_meter.RateMeter()

    def __len__(self):
        return len(self._entries)

    @property
    def in_flight(self):
        """Number of admitted requests that have not ended."""
        return len(self._started)

    @property
    def limit(self):
        """Requests in flight at once."""
        return self._limit

    @property
    def service_s(self):
        """Estimated time that an admitted request takes, in seconds."""
        return self._service_time.seconds

    def is_queued(self, request_id):
        """Return whether a request waits in the queue."""
        return request_id in self._keys

    def estimated_wait_s(self, ahead, within_share, now):
        """Return the time until a request with ``ahead`` others before it starts, in seconds.

        Requests within share that arrive later pass one in excess, so their rate is subtracted
        from the completion rate for it.
        """
        if self._limit <= 0:
            return math.inf
        rate = self._limit / max(self._service_time.seconds, 1e-6)
        if not within_share:
            rate -= self._within_rate.rate(now)
        return (ahead + 1) / rate if rate > 0 else math.inf

    def offer(self, request, within_share, now, weight=1.0):
        """Decide about a new request.

        Parameters
        ----------
        request : admission_request.AdmissionRequest
            The request.
        within_share : bool
            Whether it is within its workspace's share.
        now : float
            Monotonic time in seconds.
        weight : float, optional
            Weight of its workspace among requests of the same priority.

        Returns
        -------
        list of decision.Decision
            The request's decision first, then that of a request that had to make room for it.
        """
        self._service_time.advance(len(self._started), now)
        order = self._orders[within_share]
        tag = order.tag(request.workspace, weight)
        key = (not within_share, -request.priority, tag, self._sequence)
        self._sequence += 1
        position = bisect.bisect(self._entries, key)
        if position == 0 and self._has_slot(within_share):
            self._observe_within(within_share, now)
            order.keep(request.workspace, tag)
            order.start(tag)
            self._started[request.request_id] = now
            return [decision.Decision(request.request_id, decision.ADMITTED, within_share)]
        wait_s = self.estimated_wait_s(position, within_share, now)
        if self._limit <= 0:
            return [
                self._refuse(
                    request, within_share, decision.NO_CAPACITY, NO_CAPACITY_RETRY_AFTER_S, now
                )
            ]
        if wait_s > self._longest_wait_s(request.deadline - now):
            return [self._refuse(request, within_share, decision.DEADLINE, wait_s, now)]
        decisions = [decision.Decision(request.request_id, decision.QUEUED, within_share)]
        if len(self._entries) >= self._queue_limit:
            if position == len(self._entries):
                return [self._refuse(request, within_share, decision.QUEUE_FULL, wait_s, now)]
            last = self._entries[-1]
            last_wait_s = self.estimated_wait_s(len(self._entries) - 1, not last[0], now)
            victim = self._remove(last)
            decisions.append(
                self._refuse(victim, not last[0], decision.QUEUE_FULL, last_wait_s, now)
            )
        self._observe_within(within_share, now)
        order.keep(request.workspace, tag)
        self._entries.insert(position, key)
        self._keys[request.request_id] = key
        self._requests[key] = request
        return decisions

    def end(self, request_id, now):
        """Release an admitted request, or remove a queued one whose caller disconnected.

        Returns
        -------
        list of decision.Decision
            Decisions about queued requests that follow from it.
        """
        self._service_time.advance(len(self._started), now)
        key = self._keys.get(request_id)
        if key is not None:
            self._remove(key)
            return []
        started_at = self._started.get(request_id)
        if started_at is None:
            return []
        self._service_time.complete(len(self._started), now - started_at)
        del self._started[request_id]
        return self._admit_next(now)

    def set_limit(self, limit, now):
        """Change the limit; returns the decisions that follow from it."""
        self._service_time.advance(len(self._started), now)
        self._limit = limit
        return self._admit_next(now)

    def reassess(self, now):
        """Refuse the queued requests that can no longer be served in time."""
        self._service_time.advance(len(self._started), now)
        decisions = []
        ahead = 0
        for key in list(self._entries):
            wait_s = self.estimated_wait_s(ahead, not key[0], now)
            if now + wait_s + self._service_time.seconds <= self._requests[key].deadline:
                ahead += 1
                continue
            request = self._remove(key)
            decisions.append(self._refuse(request, not key[0], decision.DEADLINE, wait_s, now))
        return decisions

    def _has_slot(self, within_share):
        factor = WITHIN_SHARE_FACTOR if within_share else 1.0
        return len(self._started) < int(self._limit * factor)

    def _observe_within(self, within_share, now):
        if within_share:
            self._within_rate.observe(1.0, now)

    def _longest_wait_s(self, left_s):
        slack_s = left_s - self._service_time.seconds
        return max(left_s - self._service_time.likely_s, MIN_WAIT_FRACTION * slack_s)

    def _admit_next(self, now):
        decisions = []
        while self._entries and self._has_slot(not self._entries[0][0]):
            key = self._entries[0]
            request = self._remove(key)
            if now + self._service_time.seconds > request.deadline:
                decisions.append(self._refuse(request, not key[0], decision.DEADLINE, 0.0, now))
                continue
            self._orders[not key[0]].start(key[2])
            self._started[request.request_id] = now
            decisions.append(decision.Decision(request.request_id, decision.ADMITTED, not key[0]))
        return decisions

    def _remove(self, key):
        position = bisect.bisect_left(self._entries, key)
        del self._entries[position]
        request = self._requests.pop(key)
        del self._keys[request.request_id]
        return request

    def _refuse(self, request, within_share, reason, wait_s, now):
        retry_after_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        if self._limit > 0:
            interval_s = self._service_time.seconds / (self._limit * RETURN_FRACTION)
            self._last_return_at = min(
                max(self._last_return_at, now + retry_after_s) + interval_s,
                now + MAX_RETRY_AFTER_S,
            )
            retry_after_s = self._last_return_at - now
        spread = 1.0 + RETRY_AFTER_SPREAD * float(self._random_state.random())
        return decision.Decision(
            request.request_id, decision.REFUSED, within_share, reason, retry_after_s * spread
        )
