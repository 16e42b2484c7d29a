"""Checks endpoints of which the store does not tell whether they live."""

import threading
import time

import eliot

from lynxlanding.errors import endpoint as endpoint_errors

# Interval between checks of the same endpoint.
CHECK_INTERVAL_S = 0.5
# All nodes learn of such an endpoint at the same time. Random delays up to this spread their
# checks, because endpoints accept a limited number of connections.
CHECK_SPREAD_S = 0.1

ENDPOINT_CHECKED = "lynxlanding:endpoint:checked"


class ConfirmationChecker:
    """Asks endpoints whether they serve where the registry cannot tell.

    Parameters
    ----------
    serving : ServingActor proxy
        Owner of the registry.
    client : HealthClient
        Sends the checks.
    get_health_path : callable
        Returns the path of a service's health check, or None if it has none.
    record_check : callable
        Called with the record of a checked endpoint, the status of its response, its statements
        and the time, in monotonic seconds.
    on_confirmed : callable
        Called with the changes of the registry after a successful check.
    random_state : random.Random
        Source of the delays.
    """

    def __init__(self, serving, client, get_health_path, record_check, on_confirmed, random_state):
        self._serving = serving
        self._client = client
        self._get_health_path = get_health_path
        self._record_check = record_check
        self._on_confirmed = on_confirmed
        self._random_state = random_state
        # Times of the last check by endpoint id.
        self._checked_at = {}

    def check_all(self):
        """Start a check of each endpoint in question that was not checked recently."""
        records = self._serving.records_to_check().get()
        now = time.monotonic()
        endpoint_ids = {record.endpoint_id for record in records}
        for endpoint_id in list(self._checked_at):
            if endpoint_id not in endpoint_ids:
                del self._checked_at[endpoint_id]
        for record in records:
            path = self._get_health_path(record.service)
            if path is None:
                continue
            if now - self._checked_at.get(record.endpoint_id, -CHECK_INTERVAL_S) < CHECK_INTERVAL_S:
                continue
            if not self._serving.may_check(record, now).get():
                # The endpoint takes few requests or none, and a check is one of them.
                continue
            self._checked_at[record.endpoint_id] = now
            threading.Thread(target=self._check, args=(record, path), daemon=True).start()

    def _check(self, record, path):
        time.sleep(self._random_state.uniform(0.0, CHECK_SPREAD_S))
        is_serving = False
        status = None
        error = None
        try:
            check = self._client.check(record, path)
            is_serving = check.is_serving
            status = check.status
            self._record_check(record, check.status, check.statements, time.monotonic())
        except endpoint_errors.AttemptError as e:
            error = str(e)[:200]
        eliot.log_message(
            message_type=ENDPOINT_CHECKED,
            endpoint=record.endpoint_id,
            born_ms=record.started_ms,
            is_serving=is_serving,
            status=status,
            error=error,
        )
        if not is_serving:
            self._serving.record_failed_check(
                record.endpoint_id, record.started_ms, time.monotonic()
            )
            return
        changes = self._serving.confirm(record.endpoint_id, record.started_ms).get()
        self._on_confirmed(changes)
