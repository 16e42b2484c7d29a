"""Classifies requests as within or above their workspace's share at this node."""

from lynxlanding.admission import rate_meter, token_bucket

REQUESTS = "requests"
TOKENS = "tokens"

# Weight of a workspace without a guaranteed rate.
MIN_WEIGHT = 0.01


class WorkspaceShares:
    """Token buckets and demand of all workspaces.

    A workspace may have a guaranteed rate in requests/s, in tokens/s or both; a request is within
    its share if it is within each of them. All requests of a workspace without a guaranteed rate
    are in excess. The expected number of tokens is charged first and corrected when the request has
    ended.
    """

    def __init__(self):
        self._buckets = {}
        self._meters = {}

    def set_allocations(self, allocations, now):
        """Replace this node's allocations: a dict of (workspace, unit) to rate."""
        for key in list(self._buckets):
            if key not in allocations:
                del self._buckets[key]
        for key, rate in allocations.items():
            bucket = self._buckets.get(key)
            if bucket is None:
                self._buckets[key] = token_bucket.TokenBucket(rate)
                continue
            bucket.set_rate(rate, now)

    def record_request(self, workspace, tokens, now):
        """Count a request, and charge it if it is within share; return whether it is."""
        self._record_demand((workspace, REQUESTS), 1.0, now)
        self._record_demand((workspace, TOKENS), tokens, now)
        costs = self._find_costs(workspace, tokens)
        if not costs:
            return False
        for bucket, _ in costs:
            if not bucket.is_within_rate(now):
                return False
        for bucket, amount in costs:
            bucket.consume(amount, now)
        return True

    def refund(self, workspace, tokens, now):
        """Refund the cost of a request within share that did not run."""
        for bucket, amount in self._find_costs(workspace, tokens):
            bucket.consume(-amount, now)

    def correct_tokens(self, workspace, difference, now):
        """Charge the difference between actual and expected tokens of a request within share."""
        if difference > 0:
            self._record_demand((workspace, TOKENS), difference, now)
        bucket = self._buckets.get((workspace, TOKENS))
        if bucket is not None:
            bucket.consume(difference, now)

    def demand(self, now):
        """Return the demand at this node: a dict of (workspace, unit) to rate."""
        return {key: meter.rate(now) for key, meter in self._meters.items()}

    def weight(self, workspace):
        """Return a workspace's weight: its allocation in requests/s, or else in tokens/s."""
        rate = 0.0
        for unit in (REQUESTS, TOKENS):
            bucket = self._buckets.get((workspace, unit))
            if bucket is not None and bucket.rate > 0:
                rate = bucket.rate
                break
        return max(rate, MIN_WEIGHT)

    def within_share_fraction(self, workspace, now):
        """Return the fraction of a workspace's demand at this node that is within its share."""
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

    def _find_costs(self, workspace, tokens):
        costs = []
        for unit, amount in ((REQUESTS, 1.0), (TOKENS, tokens)):
            bucket = self._buckets.get((workspace, unit))
            if bucket is not None:
                costs.append((bucket, amount))
        return costs

    def _record_demand(self, key, amount, now):
        if key not in self._meters:
            self._meters[key] = rate_meter.RateMeter()
        self._meters[key].add(amount, now)
