"""Fair scheduling of requests from several workspaces."""


class FairScheduler:
    """Self-clocked fair queueing (Golestani, 1994).

    Each request gets a tag, and requests are served in the order of their tags. A workspace's tags
    advance by 1 / weight for each request, so workspaces that always have queued requests are
    served in proportion to their weights, and a workspace that sends less than its part does not
    wait for the others.
    """

    def __init__(self):
        self._virtual_time = 0.0
        self._last_tags = {}

    def next_tag(self, workspace, weight):
        """Return the tag for a workspace's next request without recording it."""
        last_tag = self._last_tags.get(workspace, 0.0)
        return max(self._virtual_time, last_tag) + 1.0 / weight

    def record_tag(self, workspace, tag):
        """Record the tag of a request that was queued or started."""
        self._last_tags[workspace] = tag

    def start_request(self, tag):
        """Advance the virtual time to the tag of a request that starts."""
        if tag <= self._virtual_time:
            return
        self._virtual_time = tag
        for workspace, last_tag in list(self._last_tags.items()):
            if last_tag < tag:
                del self._last_tags[workspace]
