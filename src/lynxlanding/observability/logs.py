"""Structured logs: one JSON object per line, written by eliot.

Records contain ids and measurements. Bearer tokens, prompts, bodies and header values are never
passed to this module.
"""

import logging

import eliot
from eliot import stdlib

REQUEST_FINISHED = "lynxlanding:request:finished"
NODE_STARTED = "lynxlanding:node:started"
NODE_STOPPING = "lynxlanding:node:stopping"
CHANGE_SUBMITTED = "lynxlanding:change:submitted"


def configure(stream, node_id):
    """Write eliot messages and the standard library's log records to a stream.

    Parameters
    ----------
    stream : text file
        Log output.
    node_id : str
        Value of the field ``node`` of every record.
    """
    eliot.add_global_fields(node=node_id)
    eliot.to_file(stream)
    root = logging.getLogger()
    root.setLevel(logging.WARNING)
    root.addHandler(stdlib.EliotHandler())


def log_request(summary):
    """Log a finished request."""
    eliot.log_message(
        message_type=REQUEST_FINISHED,
        request_id=summary.request_id,
        workspace=summary.workspace,
        service=summary.service,
        result=summary.result,
        status=summary.status,
        error=summary.error_type,
        executed=summary.executed,
        duration_s=round(summary.duration_s, 6),
        first_token_s=summary.first_token_s,
        tokens=summary.tokens,
    )


def log_node_event(message_type, **fields):
    """Log an event in the lifecycle of the node, such as its start."""
    eliot.log_message(message_type=message_type, **fields)


def log_change(change_id, author, outcome, revision=None):
    """Log an operator's change without its statements, which the history contains."""
    eliot.log_message(
        message_type=CHANGE_SUBMITTED,
        change_id=change_id,
        author=author,
        outcome=outcome,
        revision=revision,
    )
