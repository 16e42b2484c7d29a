"""Structured log messages about the handling of a request."""

import eliot

from lynxlanding.crashes import part_log, request_digest

CHOSEN = "lynxlanding:request:chosen"
REFUSED = "lynxlanding:request:refused"
ATTEMPT_FAILED = "lynxlanding:request:attempt_failed"
FINISHED = "lynxlanding:request:finished"
QUARANTINED = "lynxlanding:request:quarantined"
TRIAL = "lynxlanding:request:trial"
ACCEPTED = "lynxlanding:request:accepted_for_node"
STANDBY_STARTED = "lynxlanding:request:standby_started"
STANDBY_ENDED = "lynxlanding:request:standby_ended"
SENT_LATE = "lynxlanding:request:sent_late"
LIMIT_CHANGED = "lynxlanding:endpoint:limit_changed"
ALLOWANCE_CHANGED = "lynxlanding:endpoint:allowance_changed"
LEAVING_STATED = "lynxlanding:endpoint:leaving_stated"
REJECTED = "lynxlanding:endpoint:rejected"
COLD_CHANGED = "lynxlanding:endpoint:cold_changed"
STATEMENT_MALFORMED = "lynxlanding:endpoint:statement_malformed"

# Outcomes of second attempts.
TOOK_OVER = "took over"
NOT_NEEDED = "not needed"
FAILED = "failed"

# A caller may set the header that names the sending node.
MAX_SENDER_CHARACTERS = 64
# Keeps log lines short; prompts have a few parts.
MAX_LOGGED_PARTS = 16


class RequestLogger:
    """Logs each decision about a request together with the data that it was based on.

    Parameters
    ----------
    node_status : NodeStatus
        Age of the registry and version of the configuration that the node uses.
    """

    def __init__(self, node_status):
        self._node_status = node_status

    def log_chosen(self, request, decision, attempts):
        """Log the selection of an endpoint after ``attempts`` earlier attempts."""
        record = decision.record
        membership = record.membership
        eliot.log_message(
            message_type=CHOSEN,
            request_id=request.metadata.request_id,
            attempt=attempts + 1,
            endpoint=record.endpoint_id,
            endpoint_version=None if record.version is None else str(record.version),
            born_ms=record.started_ms,
            group=membership.name if membership else None,
            epoch=membership.epoch if membership else None,
            model=request.metadata.model,
            load=round(decision.load, 2),
            load_age_s=None if decision.load_age_s is None else round(decision.load_age_s, 3),
            limit_per_s=decision.limit_per_s,
            allowed_per_s=decision.allowed_per_s,
            predicted_s=round(decision.predicted_s, 4),
            registry_age_s=self._node_status.registry_age_s,
            configuration_version=self._node_status.configuration_version,
            request_digest=_format_digest(request),
            **self._describe_evacuations(),
        )

    def log_refused(self, request, decision, attempts):
        """Log a refusal by the dispatcher after ``attempts`` earlier attempts."""
        eliot.log_message(
            message_type=REFUSED,
            request_id=request.metadata.request_id,
            route=request.route.name,
            service=request.service,
            model=request.metadata.model,
            reason=decision.reason,
            retry_after_s=round(decision.retry_after_s, 3),
            attempts=attempts,
            registry_age_s=self._node_status.registry_age_s,
            priority=request.priority,
            **decision.inputs,
            **self._describe_evacuations(),
        )

    def _describe_evacuations(self):
        """Return the fields that tell which data centres got no requests; none if all did."""
        evacuated = self._node_status.evacuated
        if not evacuated:
            return {}
        return {
            "evacuated": evacuated,
            "evacuations_age_s": self._node_status.evacuations_age_s,
        }

    def log_quarantined(self, request, verdict, attempts, now):
        """Log that a request is refused for itself or its prompt, or sent to find out about it."""
        parts, requests = request_digest.split(sorted(verdict.parts))
        eliot.log_message(
            message_type=TRIAL if verdict.is_trial else QUARANTINED,
            request_id=request.metadata.request_id,
            route=request.route.name,
            service=request.service,
            model=request.metadata.model,
            prompt_parts=part_log.format_parts(parts),
            request_digests=part_log.format_requests(requests),
            named_age_s=round(now - verdict.named_at, 3),
            attempts=attempts,
        )

    def log_accepted(self, request, sender, is_cut):
        """Log a request that another node has handed over."""
        eliot.log_message(
            message_type=ACCEPTED,
            request_id=request.metadata.request_id,
            sender=sender[:MAX_SENDER_CHARACTERS],
            is_cut=is_cut,
        )

    def log_standby_started(self, request, record, resume_after, attempts):
        """Log that a second attempt begins beside one whose endpoint is silent."""
        eliot.log_message(
            message_type=STANDBY_STARTED,
            request_id=request.metadata.request_id,
            silent_endpoint=record.endpoint_id,
            resume_after=resume_after,
            attempts=attempts,
        )

    def log_standby_ended(self, request, resume_after, outcome):
        """Log that a second attempt took over, was not needed or has failed."""
        eliot.log_message(
            message_type=STANDBY_ENDED,
            request_id=request.metadata.request_id,
            resume_after=resume_after,
            outcome=outcome,
        )

    def log_sent_late(self, request, record, delay_s):
        """Log that a connection was established long after the endpoint was selected."""
        eliot.log_message(
            message_type=SENT_LATE,
            request_id=request.metadata.request_id,
            endpoint=record.endpoint_id,
            delay_s=round(delay_s, 3),
            registry_age_s=self._node_status.registry_age_s,
        )

    def log_attempt_failed(self, request, record, error, will_retry, history, writing_s):
        """Log a failed attempt and whether another one follows.

        ``writing_s`` is the time since the first event of its stream, or None.
        """
        eliot.log_message(
            message_type=ATTEMPT_FAILED,
            request_id=request.metadata.request_id,
            endpoint=record.endpoint_id,
            error=error.type_name,
            detail=str(error)[:200],
            not_run=error.certainly_not_run,
            will_repeat=will_retry,
            attempts=history.attempts,
            time_left_s=round(history.time_left_s, 3),
            writing_s=None if writing_s is None else round(writing_s, 3),
            prompt_parts=part_log.format_parts(request.metadata.prompt_parts[:MAX_LOGGED_PARTS]),
            request_digest=_format_digest(request),
        )


def _format_digest(request):
    """Return the digest by which a request is recognised; None if it has none."""
    return None if request.key is None else part_log.format_requests([request.key])[0]


def log_limit_changed(change, request_id=None):
    """Log a ``LimitChange``, with the request whose response has stated the limit."""
    eliot.log_message(
        message_type=LIMIT_CHANGED,
        endpoint=change.endpoint_id,
        limit_per_s=change.limit_per_s,
        known_limit_per_s=change.known_limit_per_s,
        source=change.source,
        age_s=round(change.age_s, 3),
        request_id=request_id,
    )


def log_leaving_stated(endpoint_id, started_ms, source, age_s, request_id=None):
    """Log that an endpoint has said in a response that it is leaving.

    Parameters
    ----------
    endpoint_id : str
        Endpoint that is leaving.
    started_ms : int
        Start of its incarnation, in Unix milliseconds.
    source : str
        Id of the node that received the response.
    age_s : float
        Time since the response, in seconds.
    request_id : str, optional
        Request whose response this node has received.
    """
    eliot.log_message(
        message_type=LEAVING_STATED,
        endpoint=endpoint_id,
        born_ms=started_ms,
        source=source,
        age_s=round(age_s, 3),
        request_id=request_id,
    )


def log_rejected(rejection, request_id):
    """Log a ``Rejection``, with the request whose response has stated it, if it was one."""
    eliot.log_message(
        message_type=REJECTED,
        endpoint=rejection.endpoint_id,
        born_ms=rejection.started_ms,
        retry_after_s=round(rejection.until - rejection.stated_at, 3),
        request_id=request_id,
    )


def log_cold_changed(change, now):
    """Log a ``ColdChange``; it may have been noted some time before."""
    belief = change.belief
    eliot.log_message(
        message_type=COLD_CHANGED,
        endpoint=belief.endpoint_id,
        born_ms=belief.started_ms,
        is_cold=change.is_cold,
        remaining_s=round(belief.until - change.noted_at, 3),
        source=belief.source,
        source_node=belief.node_id,
        age_s=round(change.noted_at - belief.stated_at, 3),
        noted_s=round(now - change.noted_at, 3),
    )


def log_malformed_statement(record, name, request_id):
    """Log that a statement in a response cannot be read; what was known before stays."""
    eliot.log_message(
        message_type=STATEMENT_MALFORMED,
        endpoint=record.endpoint_id,
        statement=name,
        request_id=request_id,
    )


def log_allowance_changed(change):
    """Log an ``AllowanceChange``."""
    eliot.log_message(
        message_type=ALLOWANCE_CHANGED,
        endpoint=change.endpoint_id,
        limit_per_s=change.limit_per_s,
        allowed_per_s=round(change.rate_per_s, 4),
        live_nodes=change.live_nodes,
        starts_in_s=round(change.starts_in_s, 3),
    )


def log_finished(request_id, summary):
    """Log the end of a request.

    Parameters
    ----------
    request_id : str
        Identity of the request.
    summary : dict
        Further log fields: route, workspace, status, result, durations and number of events.
    """
    eliot.log_message(message_type=FINISHED, request_id=request_id, **summary)
