"""Counts the calls to the platform's store by what they are, who makes them and how they end."""

import collections
import dataclasses
import enum
import threading

import eliot

# Counts are cumulative, so that a lost line loses nothing but its point in time.
LOG_INTERVAL_S = 5.0
# Bounds the length of the log line and the number of time series. A node has some 30 combinations
# of kind, operation and outcome; further ones are counted together.
MAX_COMBINATIONS = 200
OTHER = "other"
OK = "ok"
# The platform charges this part of a call for a list that may be stale.
STALE_LIST_CHARGE = 0.1

STORE_CALLS = "lynxlanding:store:calls"


class Operation(enum.StrEnum):
    """Operation of a call to the store."""

    GET = "get"
    LIST = "list"
    STALE_LIST = "stale_list"
    WATCH = "watch"
    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"


@dataclasses.dataclass(slots=True, frozen=True)
class CallKey:
    """Calls that are counted together.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    operation : str
        An ``Operation``.
    outcome : str
        ``OK`` or the type name of the error.
    caller : str
        Part of the node that made the calls: the name of its thread.
    """

    kind: str
    operation: str
    outcome: str
    caller: str


_OTHER_CALLS = CallKey(OTHER, OTHER, OTHER, OTHER)


class CallCounter:
    """Counts calls, including each page of a list, refused calls and those without an answer."""

    def __init__(self):
        self._lock = threading.Lock()
        self._counts = {}
        self._logged_at = None
        self._logged_total = 0

    @property
    def total(self):
        """Number of calls since the start of the process."""
        return sum(self.counts().values())

    def record(self, kind, operation, outcome, caller):
        """Count a call that has ended."""
        key = CallKey(kind, operation, outcome, caller)
        with self._lock:
            if key not in self._counts and len(self._counts) >= MAX_COMBINATIONS:
                key = _OTHER_CALLS
            self._counts[key] = self._counts.get(key, 0) + 1

    def counts(self):
        """Return the number of calls by ``CallKey``."""
        with self._lock:
            return dict(self._counts)

    def log_if_due(self, now):
        """Log the counts if calls were made since the last line and the interval has passed."""
        if self._logged_at is not None and now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        self.log()

    def log(self):
        """Log the counts unless they are those of the last line."""
        counts = self.counts()
        total = sum(counts.values())
        if total == self._logged_total:
            return
        self._logged_total = total
        calls = collections.Counter()
        callers = collections.Counter()
        charged = 0.0
        for key, count in counts.items():
            calls[f"{key.kind} {key.operation} {key.outcome}"] += count
            callers[key.caller] += count
            charge = STALE_LIST_CHARGE if key.operation == Operation.STALE_LIST else 1.0
            charged += count * charge
        eliot.log_message(
            message_type=STORE_CALLS,
            total=total,
            charged=round(charged, 1),
            calls=dict(calls),
            callers=dict(callers),
        )
