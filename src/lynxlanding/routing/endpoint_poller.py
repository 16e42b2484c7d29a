"""Polls load reports and cache events of the endpoints."""

import concurrent.futures
import json
import logging
import threading
import time

import urllib3

from lynxlanding.routing import cache_report, load_report, poll_result, prefix

TIMEOUT_S = 1.0
WORKERS = 16

# A poll costs about 1 ms of a core, and a node has 2.9% of a core for control. Above this rate the
# interval between two polls of one endpoint grows.
MAX_POLLS_PER_S = 25.0

# Cache events arrive late anyway; fetching them with every report doubled the cost of the polls.
CACHE_INTERVAL_S = 2.0

# Reports that claim to be older are from a clock that differs.
MAX_AGE_S = 10.0
MAX_BODY_BYTES = 1 << 20

_logger = logging.getLogger(__name__)


class EndpointPoller:
    """Fetches ``/load`` and ``/cache/events`` of every endpoint in turn.

    Parameters
    ----------
    router : RoutingActor proxy
        Names the endpoints and receives the results.
    pool : urllib3.PoolManager
        Connections to endpoints.
    interval_s : float
        Interval between polls of one endpoint, in seconds.
    """

    def __init__(self, router, pool, interval_s):
        self._router = router
        self._pool = pool
        self._interval_s = interval_s
        self._cache_due_at = {}
        self._stop = threading.Event()

    def start(self):
        """Begin to poll in the background."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        """Stop polling."""
        self._stop.set()

    def poll(self, target):
        """Poll one endpoint.

        Parameters
        ----------
        target : poll_result.PollTarget
            The endpoint.

        Returns
        -------
        poll_result.PollResult
        """
        try:
            status, document = self._fetch(target.address, "/load")
        except urllib3.exceptions.HTTPError:
            return poll_result.PollResult(target.address, is_reachable=False)
        load = None
        if status == 200:
            load = parse_load(target.address, document, time.monotonic(), time.time())
        cache = None
        if target.has_cache and load is not None and self._is_cache_due(target, load):
            cache = self._fetch_cache(target, load.instance)
        return poll_result.PollResult(target.address, True, load, cache)

    def _run(self):
        with concurrent.futures.ThreadPoolExecutor(WORKERS) as executor:
            while not self._stop.is_set():
                started_at = time.monotonic()
                targets = self._router.poll_targets().get()
                self._forget_all_but({target.address for target in targets})
                try:
                    results = list(executor.map(self.poll, targets))
                    self._router.apply_polls(results).get()
                except Exception:
                    _logger.exception("polling the endpoints failed")
                interval_s = max(self._interval_s, len(targets) / MAX_POLLS_PER_S)
                self._stop.wait(max(0.0, started_at + interval_s - time.monotonic()))

    def _forget_all_but(self, addresses):
        for address in self._cache_due_at.keys() - addresses:
            del self._cache_due_at[address]

    def _is_cache_due(self, target, load):
        now = time.monotonic()
        if load.instance == target.instance and now < self._cache_due_at.get(target.address, now):
            return False
        self._cache_due_at[target.address] = now + CACHE_INTERVAL_S
        return True

    def _fetch_cache(self, target, instance):
        # A new instance numbers its events from 1 again.
        after = target.cache_sequence if instance == target.instance else 0
        try:
            status, document = self._fetch(target.address, f"/cache/events?after={after}")
        except urllib3.exceptions.HTTPError:
            return None
        return parse_cache(target.address, document, instance) if status == 200 else None

    def _fetch(self, address, path):
        response = self._pool.request(
            "GET",
            f"http://{address}{path}",
            retries=False,
            timeout=TIMEOUT_S,
            preload_content=False,
        )
        try:
            body = response.read(MAX_BODY_BYTES)
        finally:
            response.release_conn()
        try:
            return response.status, json.loads(body)
        except ValueError:
            return response.status, None


def parse_load(address, document, now, wall_time):
    """Return the report, or None if it does not follow the protocol."""
    try:
        age_s = 0.0
        if document.get("reported_at") is not None:
            age_s = min(max(wall_time - float(document["reported_at"]), 0.0), MAX_AGE_S)
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
        _logger.warning("the load report of %s does not follow the protocol", address)
        return None


def parse_cache(address, document, instance):
    """Return the cache report, or None if it does not follow the protocol."""
    try:
        events = []
        for event in document["events"]:
            key = prefix.prefix_key(str(event["prefix"]))
            events.append(cache_report.CacheEvent(int(event["sequence"]), event["type"], key))
        return cache_report.CacheReport(address, tuple(events), int(document["sequence"]), instance)
    except (AttributeError, KeyError, TypeError, ValueError):
        _logger.warning("the cache events of %s do not follow the protocol", address)
        return None
