"""Which requests are within their workspace's share at this node."""

from lynxlanding.admission import rate_meter, token_bucket

REQUESTS = "requests"
TOKENS = "tokens"

# Weight of a workspace that is owed nothing.
MIN_WEIGHT = 0.01


class WorkspaceShares:
    """Token buckets and demand of every workspace.

    A workspace may be owed requests/s, tokens/s or both; a request is within its share if every
    owed rate has room. A workspace that is owed nothing is always in excess. The number of tokens
    is expected first and corrected when the request has ended.
    """

    def __init__(self):
        self._buckets = {}
        self._meters = {}

    def set_slices(self, slices, now):
        """Replace the slices: a dict of (workspace, unit) to rate."""
        for key in list(self._buckets):
            if key not in slices:
                del self._buckets[key]
        for key, rate in slices.items():
            bucket = self._buckets.get(key)
            if bucket is None:
                self._buckets[key] = token_bucket.TokenBucket(rate)
                continue
            bucket.set_rate(rate, now)

    def take(self, workspace, tokens, now):
        """Count a request; returns whether it is within the share."""
        self._observe((workspace, REQUESTS), 1.0, now)
        self._observe((workspace, TOKENS), tokens, now)
        buckets = self._find_buckets(workspace, tokens)
        if not buckets:
            return False
        for bucket, _ in buckets:
            if not bucket.has_room(now):
                return False
        for bucket, amount in buckets:
            bucket.take(amount, now)
        return True

    def give_back(self, workspace, tokens, now):
        """Give back what a request took that was within share but did not run."""
        for bucket, amount in self._find_buckets(workspace, tokens):
            bucket.take(-amount, now)

    def correct_tokens(self, workspace, difference, now):
        """Charge the difference between actual and expected tokens of a request within share."""
        if difference > 0:
            self._observe((workspace, TOKENS), difference, now)
        bucket = self._buckets.get((workspace, TOKENS))
        if bucket is not None:
            bucket.take(difference, now)

    def demand(self, now):
        """Return the demand at this node: a dict of (workspace, unit) to rate."""
        return {key: meter.rate(now) for key, meter in self._meters.items()}

    def weight(self, workspace):
        """Return the weight of a workspace's requests: its slice in requests/s or tokens/s."""
        rate = 0.0
        for unit in (REQUESTS, TOKENS):
            bucket = self._buckets.get((workspace, unit))
            if bucket is not None and bucket.rate > 0:
                rate = bucket.rate
                break
        return max(rate, MIN_WEIGHT)

    def within_fraction(self, workspace, now):
        """Return the part of a workspace's demand at this node that is within its slices."""
        fraction = 0.0
        for unit in (REQUESTS, TOKENS):
            key = (workspace, unit)
            bucket = self._buckets.get(key)
            if bucket is None:
                continue
            demand = self._meters[key].rate(now) if key in self._meters else 0.0
            unit_fraction = min(1.0, bucket.rate / demand) if demand > 0 else 1.0
            fraction = min(fraction, unit_fraction) if fraction else unit_fraction
        return fraction

    def _find_buckets(self, workspace, tokens):
        found = []
        for unit, amount in ((REQUESTS, 1.0), (TOKENS, tokens)):
            bucket = self._buckets.get((workspace, unit))
            if bucket is not None:
                found.append((bucket, amount))
        return found

    def _observe(self, key, amount, now):
        if key not in self._meters:
            self._meters[key] = rate_meter.RateMeter()
        self._meters[key].observe(amount, now)
