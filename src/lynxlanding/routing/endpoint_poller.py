"""Polls the endpoints for load reports and cache events."""

import concurrent.futures
import logging
import threading
import time

import urllib3

from lynxlanding.routing import cache_report, load_report, poll_result, prefix
from lynxlanding.transport import json_document

REQUEST_TIMEOUT_S = 1.0
POLL_THREADS = 16

# A poll takes about 1 ms of CPU time, and a node may use 2.9% of a core for control tasks. The
# interval between polls of an endpoint is extended so that this rate is not exceeded.
MAX_POLLS_PER_S = 25.0

# Cache events are late in any case, and fetching them in every poll doubled the cost of polling.
CACHE_FETCH_INTERVAL_S = 2.0

# A greater age is taken as a difference between the clocks of node and endpoint.
MAX_REPORTED_AGE_S = 10.0
MAX_RESPONSE_BYTES = 1 << 20

_logger = logging.getLogger(__name__)


class EndpointPoller:
    """Fetches ``/load`` and ``/cache/events`` of every endpoint periodically.

    Parameters
    ----------
    router : RoutingActor proxy
        Returns the endpoints to poll and receives the results.
    http_pool : urllib3.PoolManager
        Connections to the endpoints.
    interval_s : float
        Interval between polls of one endpoint, in seconds.
    """

    def __init__(self, router, http_pool, interval_s):
        self._router = router
        self._http_pool = http_pool
        self._interval_s = interval_s
        self._next_cache_fetch_at = {}
        self._stop = threading.Event()

    def start(self):
        """Start polling in a background thread."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        """Stop polling."""
        self._stop.set()

    def poll(self, target):
        """Poll one endpoint.

        Parameters
        ----------
        target : poll_result.PollTarget
            Endpoint to poll.

        Returns
        -------
        poll_result.PollResult
        """
        try:
            status, document = self._fetch_json(target.address, "/load")
        except urllib3.exceptions.HTTPError:
            return poll_result.PollResult(target.address, is_reachable=False)
        load = None
        if status == 200:
            load = parse_load_report(target.address, document, time.monotonic(), time.time())
        cache = None
        if (
            target.has_cache_events
            and load is not None
            and self._try_begin_cache_fetch(target, load)
        ):
            cache = self._fetch_cache_report(target, load.instance)
        return poll_result.PollResult(target.address, True, load, cache)

    def _run(self):
        with concurrent.futures.ThreadPoolExecutor(POLL_THREADS) as executor:
            while not self._stop.is_set():
                started_at = time.monotonic()
                targets = self._router.poll_targets().get()
                self._retain_addresses({target.address for target in targets})
                try:
                    results = list(executor.map(self.poll, targets))
                    self._router.apply_poll_results(results).get()
                except Exception:
                    _logger.exception("failed to poll the endpoints")
                interval_s = max(self._interval_s, len(targets) / MAX_POLLS_PER_S)
                self._stop.wait(max(0.0, started_at + interval_s - time.monotonic()))

    def _retain_addresses(self, addresses):
        for address in self._next_cache_fetch_at.keys() - addresses:
            del self._next_cache_fetch_at[address]

    def _try_begin_cache_fetch(self, target, load):
        now = time.monotonic()
        if load.instance == target.instance and now < self._next_cache_fetch_at.get(
            target.address, now
        ):
            return False
        self._next_cache_fetch_at[target.address] = now + CACHE_FETCH_INTERVAL_S
        return True

    def _fetch_cache_report(self, target, instance):
        # A new instance numbers its events from 1 again.
        after = target.last_cache_sequence if instance == target.instance else 0
        try:
            status, document = self._fetch_json(target.address, f"/cache/events?after={after}")
        except urllib3.exceptions.HTTPError:
            return None
        return parse_cache_report(target.address, document, instance) if status == 200 else None

    def _fetch_json(self, address, path):
        response = self._http_pool.request(
            "GET",
            f"http://{address}{path}",
            retries=False,
            timeout=REQUEST_TIMEOUT_S,
            preload_content=False,
        )
        try:
            body = response.read(MAX_RESPONSE_BYTES)
        finally:
            response.release_conn()
        try:
            return response.status, json_document.decode(body)
        except ValueError:
            return response.status, None


def parse_load_report(address, document, now, wall_time):
    """Return the load report in a JSON document, or None if the document is malformed."""
    try:
        age_s = 0.0
        if document.get("reported_at") is not None:
            age_s = min(max(wall_time - float(document["reported_at"]), 0.0), MAX_REPORTED_AGE_S)
        return load_report.LoadReport(
            address,
            str(document["instance"]),
            int(document["slots"]),
            max(0, int(document["running"])),
            max(0, int(document["queued"])),
            now - age_s,
            bool(document.get("draining")),
            document.get("model"),
            document.get("version"),
            tuple(document.get("adapters") or ()),
            document.get("group"),
            document.get("epoch"),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        _logger.warning("ignored a malformed load report of %s", address)
        return None


def parse_cache_report(address, document, instance):
    """Return the cache report in a JSON document, or None if the document is malformed."""
    try:
        events = []
        for event in document["events"]:
            key = prefix.prefix_key(str(event["prefix"]))
            events.append(cache_report.CacheEvent(int(event["sequence"]), event["type"], key))
        return cache_report.CacheReport(address, tuple(events), int(document["sequence"]), instance)
    except (AttributeError, KeyError, TypeError, ValueError):
        _logger.warning("ignored malformed cache events of %s", address)
        return None
