"""Brings the faults of a day about, at their times."""

import signal
import threading
import time

from lynxlanding_bench.site_day import day_record, fault

# Time after which an engine that has crashed under a part of a prompt is back, in seconds.
CRASHED_FOR_S = 3.0


def make_order(item, hosts, *, is_begin):
    """Return the order to the site by which a fault begins or ends; None if there is none.

    Parameters
    ----------
    item : Fault
        The fault.
    hosts : dict of str to str
        Address at which each node reaches the site.
    is_begin : bool
        Whether the fault begins.
    """
    if is_begin:
        return _BEGIN_ORDERS[item.kind](item, hosts) if item.kind in _BEGIN_ORDERS else None
    return _END_ORDERS[item.kind](item, hosts) if item.kind in _END_ORDERS else None


def _for_each(name):
    return lambda item, hosts: {name: dict.fromkeys(item.targets, item.for_s)}


def _list(name):
    return lambda item, hosts: {name: list(item.targets)}


_BEGIN_ORDERS = {
    "pause": _for_each("paused"),
    "crash": _for_each("crash"),
    "cold": _for_each("cold"),
    "reset": _list("reset"),
    "no_heartbeats": _list("silent"),
    "leave": _list("leaving"),
    "leave_unannounced": _list("leaving_unannounced"),
    "state_leaving": _list("states_leaving"),
    "state_limit": lambda item, hosts: {"limits": dict.fromkeys(item.targets, item.value)},
    "reject": lambda item, hosts: {"rejecting": dict.fromkeys(item.targets, str(item.value))},
    "cut": lambda item, hosts: {"cut": {hosts[name]: item.value for name in item.targets}},
    "cut_store": lambda item, hosts: {"refuse_store": [hosts[name] for name in item.targets]},
    "evacuate": _list("evacuate"),
    "crash_part": lambda item, hosts: {"crash_parts": {item.value: CRASHED_FOR_S}},
    "store": lambda item, hosts: {"store": item.value},
    "roll_back_store": lambda item, hosts: {"save_store": True},
    "lose_answers": lambda item, hosts: {"lost_answers": item.value},
    "configuration": lambda item, hosts: {"configuration": item.value},
}
# Faults of nodes that the site brings about.
_CUTS = frozenset({"cut", "cut_store"})
_END_ORDERS = {
    "no_heartbeats": _list("heard"),
    "state_limit": lambda item, hosts: {"limits": dict.fromkeys(item.targets)},
    "reject": lambda item, hosts: {"rejecting": dict.fromkeys(item.targets)},
    "cut": lambda item, hosts: {"uncut": [hosts[name] for name in item.targets]},
    "cut_store": lambda item, hosts: {"serve_store": [hosts[name] for name in item.targets]},
    "evacuate": _list("end_evacuation"),
    "crash_part": lambda item, hosts: {"crash_parts": {}},
    "store": lambda item, hosts: {"store": ""},
    "roll_back_store": lambda item, hosts: {"roll_back_store": True},
}


class FaultPlayer:
    """Plays faults in a thread of its own.

    Parameters
    ----------
    installation : SiteInstallation
        Site and nodes.
    faults : list of Fault
        Faults of the day.
    """

    def __init__(self, installation, faults):
        self._installation = installation
        self._steps = []
        for item in faults:
            self._steps.append((item.at_s, 0, item))
            if item.for_s:
                self._steps.append((item.at_s + item.for_s, 1, item))
        self._steps.sort(key=lambda step: step[:2])
        self._begun_at = {}
        self._played = []
        self._skipped = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def played(self):
        """``PlayedFault``s that are over."""
        return list(self._played)

    @property
    def skipped(self):
        """Steps that could not be played, as text; for example a kill of a node that is down."""
        return list(self._skipped)

    def active_value(self, kind):
        """Return the value of a fault of a kind that is in force, or None."""
        for item in list(self._begun_at):
            if item.kind == kind:
                return item.value
        return None

    def start(self):
        """Start the thread; times count from now on."""
        self._started_at = time.monotonic()
        self._thread.start()

    def finish(self):
        """End all faults that are in force, at once."""
        self._stop.set()
        self._thread.join()
        for item in list(self._begun_at):
            self._end(item)

    def _run(self):
        for at_s, is_end, item in self._steps:
            if self._stop.wait(max(0.0, self._started_at + at_s - time.monotonic())):
                return
            if is_end:
                self._end(item)
            else:
                self._begin(item)

    def _begin(self, item):
        begun_at = time.monotonic()
        self._carry_out(item, is_begin=True)
        if item.for_s:
            self._begun_at[item] = begun_at
        else:
            self._played.append(day_record.PlayedFault(item, begun_at, begun_at))

    def _end(self, item):
        begun_at = self._begun_at.pop(item, None)
        if begun_at is None:
            return
        ended_at = time.monotonic()
        self._carry_out(item, is_begin=False)
        self._played.append(day_record.PlayedFault(item, begun_at, ended_at))

    def _carry_out(self, item, *, is_begin):
        order = make_order(item, self._installation.hosts, is_begin=is_begin)
        if order is not None:
            self._installation.control(**order)
        is_process_fault = fault.KINDS[item.kind].scope == fault.NODES and item.kind not in _CUTS
        for name in item.targets if is_process_fault else ():
            try:
                self._signal(item.kind, name, is_begin=is_begin)
            except ProcessLookupError:
                self._skipped.append(f"line {item.line}: {name} is down")

    def _signal(self, kind, name, *, is_begin):
        running = self._installation.running
        if kind == "freeze":
            running.signal(name, signal.SIGSTOP if is_begin else signal.SIGCONT)
        elif not is_begin:
            if running.is_running(name):
                running.kill(name)
            running.restart(name)
        elif kind == "kill":
            running.kill(name)
        else:
            running.signal(name, signal.SIGTERM)
