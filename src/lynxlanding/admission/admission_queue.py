"""Bounded queue in front of one pool of endpoints."""

import bisect
import math

from lynxlanding.admission import _fair_scheduler, _service_time, decision, rate_meter

QUEUE_LIMIT = 512
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 300.0

# Refused callers are told to retry one after the other, at this fraction of the completion rate. If
# all of them retried after the current wait, they would find the queue full again: at twice the
# capacity, retries were 60% of all requests, and the overload continued after its cause had ended.
# With a fraction of 0.2 it lasted 30 s longer than its cause, with 0.1 a few seconds.
RETRY_RATE_FRACTION = 0.1

# Without endpoints there is no completion rate. An endpoint restarts within a few seconds.
NO_CAPACITY_RETRY_AFTER_S = 5.0

# A request may always wait for this fraction of the time left beyond the mean service time.
# Otherwise, with widely varying service times, no request would be queued at all, and excess
# requests would take each free slot before requests within share arrive.
MIN_WAIT_FRACTION = 0.25

# Requests within share may exceed the limit by this factor: the limits of the nodes follow their
# demand with a delay, and the shares bound the sum over all nodes. Without it, a node with 5% more
# requests within share than its part of the slots refuses some of them; a workspace that exceeds
# its share replaces its refused requests by others, but one that does not loses them.
WITHIN_SHARE_LIMIT_FACTOR = 1.25

# Jitter, so that callers refused by several nodes at the same time do not retry together.
RETRY_AFTER_JITTER = 0.25


class AdmissionQueue:
    """Admits requests up to a limit, queues a bounded number and refuses the others immediately.

    Requests within share are served first, then requests of higher priority, then in the order of
    the fair scheduler, which keeps the order of arrival within each workspace.

    A request is queued only if it most likely completes before its deadline after the estimated
    wait: requests that start with only the mean service time left waste capacity, since many of
    them do not complete. A queued request is refused later if its wait plus the mean service time
    exceeds the time left, for example because more urgent requests overtake it.

    Parameters
    ----------
    limit : int
        Maximum number of requests in flight.
    random_state : numpy.random.Generator
        Source of the jitter of ``Retry-After``.
    queue_limit : int, optional
        Maximum number of queued requests.
    """

    def __init__(self, limit, random_state, queue_limit=QUEUE_LIMIT):
        self._limit = limit
        self._random_state = random_state
        self._queue_limit = queue_limit
        # Keys sort by (not within_share, -priority, tag, sequence).
        self._sorted_keys = []
        self._keys_by_id = {}
        self._requests_by_key = {}
        self._start_times = {}
        self._last_retry_at = 0.0
        self._sequence = 0
        self._schedulers = {
            True: _fair_scheduler.FairScheduler(),
            False: _fair_scheduler.FairScheduler(),
        }
        self._service_time = _service_time.ServiceTimeEstimator()
        self._within_share_rate = rate_meter.RateMeter()

    def __len__(self):
        return len(self._sorted_keys)

    @property
    def in_flight(self):
        """Number of admitted requests that have not been released."""
        return len(self._start_times)

    @property
    def limit(self):
        """Maximum number of requests in flight."""
        return self._limit

    @property
    def mean_service_time_s(self):
        """Estimated mean service time of an admitted request, in seconds."""
        return self._service_time.mean_s

    def is_queued(self, request_id):
        """Return whether a request is in the queue."""
        return request_id in self._keys_by_id

    def estimated_wait_s(self, requests_ahead, within_share, now):
        """Return the time until a request with ``requests_ahead`` before it starts, in seconds.

        An excess request is overtaken by requests within share that arrive later, so for it their
        rate is subtracted from the completion rate.
        """
        if self._limit <= 0:
            return math.inf
        rate = self._limit / max(self._service_time.mean_s, 1e-6)
        if not within_share:
            rate -= self._within_share_rate.rate(now)
        return (requests_ahead + 1) / rate if rate > 0 else math.inf

    def offer(self, request, within_share, now, weight=1.0):
        """Decide about a new request.

        Parameters
        ----------
        request : admission_request.AdmissionRequest
            The request.
        within_share : bool
            Whether the request is within its workspace's share.
        now : float
            Monotonic time in seconds.
        weight : float, optional
            Weight of its workspace among requests of the same priority.

        Returns
        -------
        list of decision.Decision
            Decision about the request, followed by that about a request evicted for it, if any.
        """
        self._service_time.advance(len(self._start_times), now)
        scheduler = self._schedulers[within_share]
        tag = scheduler.next_tag(request.workspace, weight)
        key = (not within_share, -request.priority, tag, self._sequence)
        self._sequence += 1
        position = bisect.bisect(self._sorted_keys, key)
        if position == 0 and self._has_slot(within_share):
            self._record_within_share(within_share, now)
            scheduler.record_tag(request.workspace, tag)
            scheduler.start_request(tag)
            self._start_times[request.request_id] = now
            return [decision.Decision(request.request_id, decision.ADMITTED, within_share)]
        wait_s = self.estimated_wait_s(position, within_share, now)
        if self._limit <= 0:
            return [
                self._refuse(
                    request, within_share, decision.NO_CAPACITY, NO_CAPACITY_RETRY_AFTER_S, now
                )
            ]
        if wait_s > self._max_wait_s(request.deadline - now):
            return [self._refuse(request, within_share, decision.DEADLINE, wait_s, now)]
        decisions = [decision.Decision(request.request_id, decision.QUEUED, within_share)]
        if len(self._sorted_keys) >= self._queue_limit:
            if position == len(self._sorted_keys):
                return [self._refuse(request, within_share, decision.QUEUE_FULL, wait_s, now)]
            last_key = self._sorted_keys[-1]
            last_wait_s = self.estimated_wait_s(len(self._sorted_keys) - 1, not last_key[0], now)
            evicted = self._remove(last_key)
            decisions.append(
                self._refuse(evicted, not last_key[0], decision.QUEUE_FULL, last_wait_s, now)
            )
        self._record_within_share(within_share, now)
        scheduler.record_tag(request.workspace, tag)
        self._sorted_keys.insert(position, key)
        self._keys_by_id[request.request_id] = key
        self._requests_by_key[key] = request
        return decisions

    def release(self, request_id, now):
        """Release an admitted request, or remove a queued one whose caller disconnected.

        Returns
        -------
        list of decision.Decision
            Resulting decisions about queued requests.
        """
        self._service_time.advance(len(self._start_times), now)
        key = self._keys_by_id.get(request_id)
        if key is not None:
            self._remove(key)
            return []
        started_at = self._start_times.get(request_id)
        if started_at is None:
            return []
        self._service_time.record_completion(len(self._start_times), now - started_at)
        del self._start_times[request_id]
        return self._admit_next(now)

    def set_limit(self, limit, now):
        """Change the limit; return the resulting decisions about queued requests."""
        self._service_time.advance(len(self._start_times), now)
        self._limit = limit
        return self._admit_next(now)

    def refuse_late(self, now):
        """Refuse the queued requests that can no longer complete before their deadline."""
        self._service_time.advance(len(self._start_times), now)
        decisions = []
        requests_ahead = 0
        for key in list(self._sorted_keys):
            wait_s = self.estimated_wait_s(requests_ahead, not key[0], now)
            if now + wait_s + self._service_time.mean_s <= self._requests_by_key[key].deadline:
                requests_ahead += 1
                continue
            request = self._remove(key)
            decisions.append(self._refuse(request, not key[0], decision.DEADLINE, wait_s, now))
        return decisions

    def _has_slot(self, within_share):
        factor = WITHIN_SHARE_LIMIT_FACTOR if within_share else 1.0
        return len(self._start_times) < int(self._limit * factor)

    def _record_within_share(self, within_share, now):
        if within_share:
            self._within_share_rate.add(1.0, now)

    def _max_wait_s(self, time_left_s):
        slack_s = time_left_s - self._service_time.mean_s
        return max(time_left_s - self._service_time.upper_bound_s, MIN_WAIT_FRACTION * slack_s)

    def _admit_next(self, now):
        decisions = []
        while self._sorted_keys and self._has_slot(not self._sorted_keys[0][0]):
            key = self._sorted_keys[0]
            request = self._remove(key)
            if now + self._service_time.mean_s > request.deadline:
                decisions.append(self._refuse(request, not key[0], decision.DEADLINE, 0.0, now))
                continue
            self._schedulers[not key[0]].start_request(key[2])
            self._start_times[request.request_id] = now
            decisions.append(decision.Decision(request.request_id, decision.ADMITTED, not key[0]))
        return decisions

    def _remove(self, key):
        position = bisect.bisect_left(self._sorted_keys, key)
        del self._sorted_keys[position]
        request = self._requests_by_key.pop(key)
        del self._keys_by_id[request.request_id]
        return request

    def _refuse(self, request, within_share, reason, wait_s, now):
        retry_after_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        if self._limit > 0:
            interval_s = self._service_time.mean_s / (self._limit * RETRY_RATE_FRACTION)
            self._last_retry_at = min(
                max(self._last_retry_at, now + retry_after_s) + interval_s,
                now + MAX_RETRY_AFTER_S,
            )
            retry_after_s = self._last_retry_at - now
        jitter = 1.0 + RETRY_AFTER_JITTER * float(self._random_state.random())
        return decision.Decision(
            request.request_id, decision.REFUSED, within_share, reason, retry_after_s * jitter
        )
