"""Follows the replica groups for operators and for the burn counts."""

import threading
import time

from lynxlanding.groups import group_record
from lynxlanding.observability.burn import group_observation
from lynxlanding.operators.view import rows

INTERVAL_S = 2.0
# After a pause of the node, only this much is counted for the time that nobody observed.
MAX_ELAPSED_S = 3 * INTERVAL_S
_LEAVING_REASONS = ("vm_leaving", "engine_draining")


class GroupWatch:
    """Samples the state of all groups.

    Parameters
    ----------
    read_status : callable
        Returns the rows of ``FleetController.status``.
    burn_actor : BurnActor proxy
        Counts group downtime and stranded accelerators.

    Attributes
    ----------
    stranded_accelerators : int
        Number in the last sample.
    """

    def __init__(self, read_status, burn_actor):
        self._read_status = read_status
        self._burn_actor = burn_actor
        self._down_since = {}
        self._sampled_at = None
        self.stranded_accelerators = 0
        self._stop = threading.Event()

    def start(self):
        """Begin to sample."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        """End sampling."""
        self._stop.set()

    def sample(self, now, wall_time):
        """Count the time since the last sample by the present state of each group.

        Parameters
        ----------
        now, wall_time : float
            Monotonic time, and seconds since the epoch.
        """
        found = self._read_status()
        elapsed_s = 0.0
        if self._sampled_at is not None:
            elapsed_s = min(now - self._sampled_at, MAX_ELAPSED_S)
        self._sampled_at = now
        self._follow(found, now)
        self.stranded_accelerators = sum(_stranded(status) for status in found)
        observations = []
        for status in found:
            state = state_of(status)
            # A planned stop is no downtime.
            if state == rows.LEAVING or not status["is_counted_here"]:
                continue
            observations.append(
                group_observation.GroupObservation(
                    status["model"],
                    status["place"],
                    state == rows.SERVING,
                    status["accelerators"],
                    _stranded(status),
                )
            )
        if observations and elapsed_s > 0:
            self._burn_actor.record_groups(observations, elapsed_s, wall_time)

    def group_rows(self, now):
        """Return the rows of the table ``groups``."""
        found = self._read_status()
        self._follow(found, now)
        made = []
        for status in found:
            state = state_of(status)
            since = self._down_since.get(status["group"], now)
            made.append(
                rows.GroupRow(
                    status["group"],
                    status["model"],
                    status["version"],
                    status["place"],
                    status["fabric_domain"],
                    status["epoch"],
                    state,
                    len(status["vms"]),
                    len(status["missing"]),
                    status["accelerators"],
                    _stranded(status),
                    now - since if state == rows.INCOMPLETE else 0.0,
                )
            )
        return tuple(made)

    def endpoint_rows(self, in_flight):
        """Return one row for the leader of each group."""
        made = []
        for status in self._read_status():
            state = state_of(status)
            made.append(
                rows.EndpointRow(
                    address=status["address"],
                    service="",
                    model=status["model"],
                    version=status["version"],
                    place=status["place"],
                    fabric_domain=status["fabric_domain"],
                    group=status["group"],
                    state=state,
                    leaving_because=status["reason"] if state == rows.LEAVING else "",
                    slots=0,
                    running=status["running"],
                    queued=status["queued"],
                    in_flight=in_flight.get(status["address"], 0),
                    accelerators=status["accelerators"],
                )
            )
        return made

    def _follow(self, found, now):
        down_since = {}
        for status in found:
            if not status["serves"]:
                down_since[status["group"]] = self._down_since.get(status["group"], now)
        self._down_since = down_since

    def _run(self):
        while not self._stop.wait(INTERVAL_S):
            self.sample(time.monotonic(), time.time())


def state_of(status):
    """Return the state of a group in the words of the query language.

    A group whose engines do not report its epoch holds its accelerators without serving, so it
    counts as incomplete.
    """
    if status["serves"]:
        return rows.SERVING
    if status["state"] == group_record.DRAINING or status["reason"] in _LEAVING_REASONS:
        return rows.LEAVING
    if status["state"] == group_record.FORMING:
        return rows.LOADING
    return rows.INCOMPLETE


def _stranded(status):
    return status["stranded_accelerators"] if state_of(status) == rows.INCOMPLETE else 0
