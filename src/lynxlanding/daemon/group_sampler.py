"""Samples the replica groups for the operators' tables and the burn counts."""

import threading
import time

from lynxlanding.groups import group_record
from lynxlanding.observability.burn import group_observation
from lynxlanding.operators.view import rows

SAMPLE_INTERVAL_S = 2.0
# Limits the time counted for one sample, because the groups were not observed during a pause of
# the process.
MAX_ELAPSED_S = 3 * SAMPLE_INTERVAL_S
_PLANNED_STOP_REASONS = ("vm_leaving", "engine_draining")


class GroupSampler:
    """Periodically samples the state of all replica groups.

    Parameters
    ----------
    read_status : callable
        Returns the rows of ``FleetController.status``.
    burn_actor : BurnActor proxy
        Counts group downtime and stranded accelerators.

    Attributes
    ----------
    stranded_accelerators : int
        Stranded accelerators in the last sample.
    """

    def __init__(self, read_status, burn_actor):
        self._read_status = read_status
        self._burn_actor = burn_actor
        self._down_since = {}
        self._last_sampled_at = None
        self.stranded_accelerators = 0
        self._stop = threading.Event()

    def start(self):
        """Start the sampling thread."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        """Stop the sampling thread."""
        self._stop.set()

    def sample(self, now, wall_time):
        """Attribute the time since the last sample to the current state of each group.

        Parameters
        ----------
        now, wall_time : float
            Monotonic time, and seconds since the epoch.
        """
        statuses = self._read_status()
        elapsed_s = 0.0
        if self._last_sampled_at is not None:
            elapsed_s = min(now - self._last_sampled_at, MAX_ELAPSED_S)
        self._last_sampled_at = now
        self._update_down_since(statuses, now)
        self.stranded_accelerators = sum(
            _count_stranded_accelerators(status) for status in statuses
        )
        observations = []
        for status in statuses:
            state = _group_state(status)
            # A planned stop does not count as downtime.
            if state == rows.LEAVING or not status["is_counted_here"]:
                continue
            observations.append(
                group_observation.GroupObservation(
                    status["model"],
                    status["place"],
                    state == rows.SERVING,
                    status["accelerators"],
                    _count_stranded_accelerators(status),
                )
            )
        if observations and elapsed_s > 0:
            self._burn_actor.record_groups(observations, elapsed_s, wall_time)

    def group_rows(self, now):
        """Return the rows of the table ``groups``."""
        statuses = self._read_status()
        self._update_down_since(statuses, now)
        table_rows = []
        for status in statuses:
            state = _group_state(status)
            down_started_at = self._down_since.get(status["group"], now)
            table_rows.append(
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
                    _count_stranded_accelerators(status),
                    now - down_started_at if state == rows.INCOMPLETE else 0.0,
                )
            )
        return tuple(table_rows)

    def endpoint_rows(self, in_flight):
        """Return one row of the table ``endpoints`` for the leader of each group."""
        table_rows = []
        for status in self._read_status():
            state = _group_state(status)
            table_rows.append(
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
        return table_rows

    def _update_down_since(self, statuses, now):
        down_since = {}
        for status in statuses:
            if not status["serves"]:
                down_since[status["group"]] = self._down_since.get(status["group"], now)
        self._down_since = down_since

    def _run(self):
        while not self._stop.wait(SAMPLE_INTERVAL_S):
            self.sample(time.monotonic(), time.time())


def _group_state(status):
    """Return the state of a group as named in the query language.

    A group whose engines do not report its epoch is incomplete, because it occupies its
    accelerators without serving.
    """
    if status["serves"]:
        return rows.SERVING
    if status["state"] == group_record.DRAINING or status["reason"] in _PLANNED_STOP_REASONS:
        return rows.LEAVING
    if status["state"] == group_record.FORMING:
        return rows.LOADING
    return rows.INCOMPLETE


def _count_stranded_accelerators(status):
    return status["stranded_accelerators"] if _group_state(status) == rows.INCOMPLETE else 0
