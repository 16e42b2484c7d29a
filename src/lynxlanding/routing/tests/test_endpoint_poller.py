import json

import time_machine

from lynxlanding.routing import endpoint_poller, poll_result

ADDRESS = "127.0.0.1:9"


class FakeResponse:
    """Response with a JSON body."""

    status = 200

    def __init__(self, document):
        self._document = document

    def read(self, limit):
        return json.dumps(self._document).encode()

    def release_conn(self):
        return


class FakeEnginePool:
    """Connection pool that responds like an engine and records the requested paths."""

    def __init__(self):
        self.paths = []
        self.instance = "i1"

    def request(self, method, url, **options):
        self.paths.append(url.rpartition(ADDRESS)[2])
        if "/cache" in url:
            return FakeResponse({"events": [], "sequence": 0})
        return FakeResponse({"instance": self.instance, "slots": 1, "running": 0, "queued": 0})


def test_cache_events_are_fetched_at_their_own_interval():
    """Guards against fetching cache events in every poll, or too late from a new instance."""
    pool = FakeEnginePool()
    poller = endpoint_poller.EndpointPoller(None, pool, 0.5)
    target = poll_result.PollTarget(ADDRESS, True, 0, "i1")
    with time_machine.travel(1_000_000.0, tick=False) as traveller:
        for _ in range(9):
            poller.poll(target)
            traveller.shift(0.5)
        assert sum("/cache" in path for path in pool.paths) == 3
        pool.instance = "i2"
        assert poller.poll(target).cache is not None
