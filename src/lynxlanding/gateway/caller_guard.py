"""Limits that apply to all callers of a process together, and what has exceeded them."""

import time

import eliot

from lynxlanding.traffic import limits as caller_limits
from lynxlanding.transport import memory_budget

LIMIT_EXCEEDED = "lynxlanding:callers:limit_exceeded"
# One line per reason in this time; it counts those since the last one.
LOG_INTERVAL_S = 1.0

BODY_TOO_LARGE = "body_too_large"
HEADERS_TOO_LARGE = "headers_too_large"
HEADER_TIMEOUT = "header_timeout"
BODY_TIMEOUT = "body_timeout"
MALFORMED = "malformed"
NO_MEMORY = "no_memory"
NO_DESCRIPTOR = "no_descriptor"
ANSWER_NOT_READ = "answer_not_read"
# Name and description of the gauge that counts each reason.
_GAUGES = {
    BODY_TOO_LARGE: (
        "lynxlanding_callers_body_too_large",
        "Requests refused because their body exceeds the limit.",
    ),
    HEADERS_TOO_LARGE: (
        "lynxlanding_callers_headers_too_large",
        "Requests refused because their headers exceed the limit.",
    ),
    HEADER_TIMEOUT: (
        "lynxlanding_callers_header_timeout",
        "Requests refused because their headers did not arrive in time.",
    ),
    BODY_TIMEOUT: (
        "lynxlanding_callers_body_timeout",
        "Requests refused because their body stopped arriving.",
    ),
    MALFORMED: (
        "lynxlanding_callers_malformed",
        "Requests refused because they cannot be parsed.",
    ),
    NO_MEMORY: (
        "lynxlanding_callers_no_memory",
        "Requests refused and answers broken off to keep within the memory budget.",
    ),
    NO_DESCRIPTOR: (
        "lynxlanding_callers_no_descriptor",
        "Connections of callers given up because there are too many.",
    ),
    ANSWER_NOT_READ: (
        "lynxlanding_callers_answer_not_read",
        "Connections closed because the caller does not read the answer.",
    ),
}
REASONS = tuple(_GAUGES)

# Memory that a node needs without requests, with some room for its connections.
BASE_MEMORY_MB = 88
# Bytes are counted once, but copied when a body is complete and when it is sent.
COPIES = 2
MIN_BUDGET_MB = 16
# Memory of a VM whose settings do not state it.
DEFAULT_MEMORY_MB = 256
DEFAULT_HEADER_TIMEOUT_S = 3.0


def budget_bytes(memory_mb):
    """Return the memory budget of a process on a VM with ``memory_mb``."""
    return int(max(MIN_BUDGET_MB, (memory_mb - BASE_MEMORY_MB) / COPIES) * (1 << 20))


class CallerGuard:
    """Shared by the servers of a process.

    Parameters
    ----------
    budget : MemoryBudget
        Memory for what is buffered for callers.
    get_limits : callable
        Returns the ``CallerLimits`` in force.
    max_descriptors : int, optional
        Descriptors that callers' connections may take; None if the number of concurrent requests
        bounds them.
    echoes_request_id : bool, optional
        Whether refusals carry the request id that the caller has sent.
    clock : callable, optional
        Returns monotonic seconds.
    """

    def __init__(
        self,
        budget,
        get_limits,
        max_descriptors=None,
        echoes_request_id=False,
        clock=time.monotonic,
    ):
        self.budget = budget
        self.get_limits = get_limits
        self.max_descriptors = max_descriptors
        self.echoes_request_id = echoes_request_id
        self._clock = clock
        self._totals = dict.fromkeys(REASONS, 0)
        self._logged_totals = dict.fromkeys(REASONS, 0)
        self._logged_at = {}

    def total(self, reason):
        """Return how often a limit was exceeded."""
        return self._totals[reason]

    def record(self, reason, request_id=None):
        """Count an exceeded limit, and log it unless the same was logged just before.

        Parameters
        ----------
        reason : str
            One of ``REASONS``.
        request_id : str, optional
            Id of the refused request, if its headers have arrived.
        """
        self._totals[reason] += 1
        now = self._clock()
        logged_at = self._logged_at.get(reason)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
            return
        self._logged_at[reason] = now
        count = self._totals[reason] - self._logged_totals[reason]
        self._logged_totals[reason] = self._totals[reason]
        eliot.log_message(
            message_type=LIMIT_EXCEEDED,
            reason=reason,
            count=count,
            request_id=request_id,
            held_bytes=self.budget.held_bytes,
            budget_bytes=self.budget.max_bytes,
        )

    def add_gauges(self, metrics):
        """Add gauges of the exceeded limits and of the memory budget to ``metrics``."""
        for reason, (name, description) in _GAUGES.items():
            metrics.add_gauge(name, description, lambda reason=reason: self._totals[reason])
        metrics.add_gauge(
            "lynxlanding_buffered_bytes",
            "Bytes that are buffered for callers and endpoints.",
            lambda: self.budget.held_bytes,
        )


def for_settings(settings, max_descriptors=None):
    """Return the ``CallerGuard`` of a server with fixed limits and its own memory budget.

    Parameters
    ----------
    settings : RequestSettings
        Limits on requests and connections.
    max_descriptors : int, optional
        As of ``CallerGuard``.
    """
    limits = fixed_limits(settings)
    budget = memory_budget.MemoryBudget(budget_bytes(DEFAULT_MEMORY_MB))
    return CallerGuard(budget, lambda: limits, max_descriptors)


def fixed_limits(settings):
    """Return the ``CallerLimits`` of settings, which state them with the limits on requests."""
    return caller_limits.CallerLimits(
        max_header_bytes=settings.max_header_bytes,
        max_body_bytes=settings.max_body_bytes,
        header_timeout_s=getattr(settings, "header_timeout_s", DEFAULT_HEADER_TIMEOUT_S),
        idle_timeout_s=settings.idle_timeout_s,
    )
