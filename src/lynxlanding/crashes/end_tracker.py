"""Tells endpoints that have ended from connections that broke for another reason."""

# Broken attempts wait this long for what shows that the endpoint has ended: an address at which it
# does not listen, or the registration of its next incarnation.
CONFIRMATION_S = 3.0
# An endpoint is checked once within this time, however many of its attempts break.
CHECK_INTERVAL_S = 1.0
# Endpoints remembered at the same time.
MAX_ENDPOINTS = 256


class EndTracker:
    """Collects broken attempts until it is known whether their endpoint has ended.

    A connection may break because it was reset or cut, because the endpoint has closed it, or
    because the endpoint has ended. Only in the last case does nothing listen at the address, or
    another incarnation register there soon.
    Performs no I/O.
    """

    def __init__(self):
        self._broken = {}
        self._checked_at = {}
        self._ended_at = {}

    def record_broken(self, attempt, now):
        """Record a broken attempt; return it in a list if its endpoint is known to have ended."""
        self._expire(now)
        key = (attempt.endpoint_id, attempt.started_ms)
        if key in self._ended_at:
            return [attempt]
        self._broken.setdefault(key, []).append(attempt)
        return []

    def should_check(self, endpoint_id, started_ms, now):
        """Return whether to check now if an incarnation has ended, and count the check."""
        key = (endpoint_id, started_ms)
        if key in self._ended_at:
            return False
        if now - self._checked_at.get(key, -CHECK_INTERVAL_S) < CHECK_INTERVAL_S:
            return False
        self._checked_at[key] = now
        return True

    def record_refused(self, endpoint_id, started_ms, now):
        """Record that an endpoint does not listen; return the attempts that its end broke off.

        Parameters
        ----------
        endpoint_id : str
            Endpoint at whose address nothing listens.
        started_ms : int
            Incarnation that was expected there.
        now : float
            Monotonic seconds.
        """
        self._expire(now)
        key = (endpoint_id, started_ms)
        attempts = self._broken.pop(key, [])
        if attempts:
            self._ended_at[key] = now
        return attempts

    def record_started(self, record, now):
        """Record the registration of an incarnation; return the attempts at its predecessor.

        Parameters
        ----------
        record : EndpointRecord
            The incarnation. Those before it at the same address have ended.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of BrokenAttempt
            Attempts that broke because of the end, all at one incarnation.
        """
        self._expire(now)
        for key, attempts in self._broken.items():
            is_same = key == (record.endpoint_id, record.started_ms)
            if attempts[0].address == record.address and not is_same:
                return self.record_refused(*key, now)
        return []

    def _expire(self, now):
        for key, attempts in list(self._broken.items()):
            recent = [item for item in attempts if now - item.ended_at <= CONFIRMATION_S]
            if recent:
                self._broken[key] = recent
            else:
                del self._broken[key]
        for times, lifetime_s in (
            (self._ended_at, CONFIRMATION_S),
            (self._checked_at, CHECK_INTERVAL_S),
        ):
            for key, at in list(times.items()):
                if now - at > lifetime_s or len(times) > MAX_ENDPOINTS:
                    del times[key]
