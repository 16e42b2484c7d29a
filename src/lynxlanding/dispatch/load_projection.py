"""Projects the loads of heads from counts of different ages to the time of a decision."""

import math

# Averages of the requests of other nodes cover about this time, which is longer than the intervals
# of reports and shorter than waves of traffic.
AVERAGE_TIME_S = 2.0
# The counts in a digest are older than the digest by half the interval of reports to gatherers.
DIGEST_EXTRA_AGE_S = 0.1


class LoadProjection:
    """Combines this node's exact counts with the projected ones of other nodes; performs no I/O.

    Requests that other nodes had in flight at the time of their reports end at the rate at which
    heads complete requests, and new ones take their place. So the count of the others returns from
    the reported value to its average, with the time that a request takes as time constant.

    Parameters
    ----------
    load_tracker : LoadTracker
        Counts of all nodes, and loads that heads have reported.
    """

    def __init__(self, load_tracker):
        self._load_tracker = load_tracker
        # By endpoint id: average count of the other nodes, and when it was updated.
        self._averages = {}

    def update_averages(self, records, now):
        """Bring the averages of the heads up to date; call this a few times a second."""
        averages = {}
        for record in records:
            endpoint_id = record.endpoint_id
            count = self._load_tracker.others_count(endpoint_id)
            average, updated_at = self._averages.get(endpoint_id, (count, now))
            weight = 1.0 - math.exp(-(now - updated_at) / AVERAGE_TIME_S)
            averages[endpoint_id] = (average + weight * (count - average), now)
        self._averages.update(averages)

    def forget(self, endpoint_id):
        """Discard the average of an endpoint that restarted or was removed."""
        self._averages.pop(endpoint_id, None)

    def load(self, endpoint_id, service_time_s, now):
        """Return the expected number of running and queued requests at a head.

        Parameters
        ----------
        endpoint_id : str
            The head.
        service_time_s : float
            Time that a request occupies a slot, in seconds.
        now : float
            Monotonic seconds.
        """
        tracker = self._load_tracker
        own = tracker.own_counts.get(endpoint_id, 0)
        others = tracker.others_count(endpoint_id)
        age_s = tracker.others_age_s(now) + DIGEST_EXTRA_AGE_S
        reported = tracker.reported_load(endpoint_id, now)
        if reported is not None and reported.age_s < age_s:
            # The head's own report is the more recent one.
            others = max(0, reported.load - own)
            age_s = reported.age_s
        average, _ = self._averages.get(endpoint_id, (others, now))
        return own + average + (others - average) * math.exp(-age_s / service_time_s)
