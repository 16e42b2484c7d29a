"""Records the revisions of the nodes and the domain objects during a run."""

import threading

import urllib3

INTERVAL_S = 0.25
WATCH_MS = 1000


class Observer:
    """Polls nodes and the store in the background.

    Parameters
    ----------
    installation : Fleet
        Gives the addresses.
    recorder : Recorder
        Receives what was seen.
    """

    def __init__(self, installation, recorder):
        self._installation = installation
        self._recorder = recorder
        self._pool = urllib3.PoolManager()
        self._stop = threading.Event()
        self._threads = []
        self._seen = {}
        self._domains_version = 0

    def start(self):
        """Begin to poll; one thread for each source, since a paused one does not answer."""
        names = self._installation.daemon_names
        for index, name in enumerate(names):
            self._start_thread(self._observe_node, index, name)
        self._start_thread(self._observe_domains)

    def stop(self):
        """End polling."""
        self._stop.set()
        for thread in self._threads:
            thread.join(5.0)

    def revisions(self):
        """Return the last revision of each node by name."""
        return dict(self._seen)

    def _start_thread(self, target, *arguments):
        thread = threading.Thread(target=self._repeat, args=(target, *arguments), daemon=True)
        thread.start()
        self._threads.append(thread)

    def _repeat(self, target, *arguments):
        while not self._stop.wait(INTERVAL_S):
            try:
                target(*arguments)
            except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError):
                continue

    def _observe_node(self, index, name):
        document = self._get(self._installation.daemon_url(index) + "/readyz")
        # A node that is not ready serves nobody, so its revision does not count.
        if document["ready"] and self._seen.get(name) != document["revision"]:
            self._seen[name] = document["revision"]
            self._recorder.record("revision", node=name, revision=document["revision"])

    def _observe_domains(self):
        # A watch returns every version, so that no state between two polls is missed.
        url = f"{self._installation.object_api}/watch/domains"
        document = self._get(f"{url}?after={self._domains_version}&timeout_ms={WATCH_MS}")
        for event in document["events"]:
            if event["type"] != "put":
                continue
            groups = {}
            for group, content in event["value"]["groups"].items():
                groups[group] = list(content["vms"])
            self._recorder.record("domain", domain=event["name"], groups=groups)
        self._domains_version = document["version"]

    def _get(self, url):
        return self._pool.request("GET", url, retries=False, timeout=2.0).json()
