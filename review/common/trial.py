"""Parts that the cases share: the small deployment, ordinary callers, and the check of LOST."""

import contextlib
import pathlib
import sys
import tempfile
import time
import traceback

import callers
import configurations
import nodes
import standins

SERVICE = "booking-app"
BOOK = ("POST", "/lohu930/2f")
LOOK = ("GET", "/pufi791/2f")
# LOST: "more than three times".
ALLOWED_LOST = 3
# stable_window_ms is 3,000.
STABLE_WINDOW_S = 3.0


class Deployment:
    """Store, endpoints and nodes of a small deployment, with ordinary callers."""

    def __init__(self, directory, configuration, node_count=2, work_s=0.4):
        ports = nodes.free_ports(4)
        self.endpoints = []
        for index in range(3):
            endpoint_id = f"i-7f3a91c{index}"
            self.endpoints.append(
                standins.Endpoint(endpoint_id, SERVICE, ports[1 + index], f"zone-{index}", work_s)
            )
        self.site = standins.Site(ports[0], self.endpoints)
        self.put_configuration(configuration)
        self.nodes = []
        for index in range(node_count):
            name, zone = f"front-{index}", f"zone-{index}"
            self.nodes.append(nodes.Node(name, zone, ports[0], directory))
        self.callers = []
        self.lines = []
        self.began_at = time.monotonic()

    def wait_ready(self):
        """Return whether all nodes are ready; print the end of the log of one that is not."""
        for node in self.nodes:
            if not node.wait_ready():
                print(f"{node.name} is not ready; the end of its log:")
                print(node.log_path.read_text()[-2000:])
                return False
        return True

    def put_configuration(self, text):
        """Write a version as the operator; it is acknowledged when this returns."""
        self.site.put("config", "main", text)

    def start_callers(self, node, count, calls=(BOOK, LOOK), pause_s=0.01):
        """Start ordinary callers, each with a kept connection to a node."""
        for _ in range(count):
            method, path = calls[len(self.callers) % len(calls)]
            number = len(self.callers)
            key = configurations.KEPT_KEY
            caller = callers.Caller(number, node.front, method, path, key, pause_s)
            self.callers.append(caller)
            caller.start()

    def stop_callers(self):
        for caller in self.callers:
            caller.stop()
        for caller in self.callers:
            caller.join(callers.TIMEOUT_S + 2)

    def at(self, moment):
        return round(moment - self.began_at, 3)

    def runs(self):
        """Return the times of the runs by request id."""
        found = {}
        for endpoint in self.endpoints:
            for request_id, moment, *_ in endpoint.runs:
                found.setdefault(request_id, []).append(moment)
        return found

    def describe_nodes(self):
        for node in self.nodes:
            killed = [f"at {self.at(moment)} s with {mb} MB" for moment, mb in node.kills]
            self.lines.append(
                f"{node.name}: peak {node.peak_mb:.0f} MB of {nodes.MEMORY_MB}; killed by the "
                f"platform over its memory: {killed or 'never'}; ended: {len(node.exits)} times"
            )

    def check_lost(self):
        """Return whether LOST is broken, and record what was sent, answered and run."""
        runs = self.runs()
        sent = answered = 0
        lost = []
        for caller in self.callers:
            for request_id, sent_at, used, ended_at, status, is_cut in caller.calls:
                sent += 1
                answered += isinstance(status, int)
                if is_cut and used > 1 and request_id in runs:
                    lost.append(
                        f"  {request_id}: sent {self.at(sent_at)} s, ran {self.at(runs[request_id][0])} "
                        f"s, connection ended {self.at(ended_at)} s ({status})"
                    )
        self.lines.append(f"ordinary requests: {sent} sent, {answered} answered, {len(runs)} ran")
        self.lines.append(
            "requests from kept connections that a sound endpoint ran and whose connection ended "
            f"without an answer: {len(lost)}"
        )
        self.lines += lost
        return len(lost) > ALLOWED_LOST


@contextlib.contextmanager
def deployment(configuration, **options):
    """Start a deployment, and end all of its processes afterwards."""
    with tempfile.TemporaryDirectory() as directory:
        started = Deployment(directory, configuration, **options)
        try:
            yield started
        finally:
            for node in started.nodes:
                node.stop()


def write_record(path, lines):
    text = "\n".join(lines) + "\n"
    pathlib.Path(path).with_name("record.txt").write_text(text)
    print(text, end="")


def run(main):
    """Exit with what ``main`` returns, or with 2 if the case could not run."""
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = nodes.CANNOT_RUN
    sys.exit(code)
