"""Order of requests from several workspaces."""


class FairOrder:
    """Start-time fair queueing (Goyal, Vin and Cheng, 1996).

    Each request gets a tag; requests are served in order of their tags. A workspace's tags advance
    by 1 / weight for each request, so workspaces that always have requests waiting are served in
    proportion to their weights, and one that sends less than its part does not wait for the others.
    """

    def __init__(self):
        self._virtual_time = 0.0
        self._last_tags = {}

    def tag(self, workspace, weight):
        """Return the tag of a workspace's next request, without keeping it."""
        last = self._last_tags.get(workspace, 0.0)
        return max(self._virtual_time, last) + 1.0 / weight

    def keep(self, workspace, tag):
        """Keep the tag of a request that was queued or started."""
        self._last_tags[workspace] = tag

    def start(self, tag):
        """Advance the virtual time to the tag of a request that starts."""
        if tag <= self._virtual_time:
            return
        self._virtual_time = tag
        for workspace, last in list(self._last_tags.items()):
            if last < tag:
                del self._last_tags[workspace]
