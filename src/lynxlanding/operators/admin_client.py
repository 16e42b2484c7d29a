"""Client of the admin API."""

import json
import time

import urllib3

from lynxlanding.errors import operators as operator_errors

CONNECT_TIMEOUT_S = 2.0
# A commit may wait for a slow store; the node answers 504 well before this.
READ_TIMEOUT_S = 30.0
ATTEMPTS = 4
FIRST_DELAY_S = 0.25
_NOT_SENT = (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)
# 500 is included because a node that fails in the middle of a commit knows no outcome.
_NOT_FINAL = (500, 503, 504)


class AdminClient:
    """Calls the admin API of the first node that answers.

    Parameters
    ----------
    nodes : sequence of str
        Base URLs of peer listeners, tried in order.
    pool : urllib3.PoolManager
        Connection pool.
    sleep : callable, optional
        Waits a number of seconds.
    """

    def __init__(self, nodes, pool, sleep=time.sleep):
        self._nodes = [node.rstrip("/") for node in nodes]
        self._pool = pool
        self._sleep = sleep

    def read(self, path):
        """Return status and document of a GET; raises ``NodeUnreachable``."""
        return self._call("GET", path, None)

    def query(self, text):
        """Return status and document of a query; raises ``NodeUnreachable``."""
        return self._call("POST", "query", {"text": text})

    def apply(self, document):
        """Return status and document of a change.

        Every attempt carries the same change id, so repeating after a lost answer is safe.

        Raises
        ------
        errors.operators.NodeUnreachable
            If the change was certainly not submitted.
        errors.operators.ChangeOutcomeUnknown
            If it may have been accepted.
        """
        delay_s = FIRST_DELAY_S
        refusal = None
        may_be_accepted = False
        reasons = []
        for attempt in range(ATTEMPTS):
            if attempt:
                self._sleep(delay_s)
                delay_s *= 2
            for node in self._nodes:
                try:
                    status, answer = self._request("POST", node, "apply", document)
                except _NOT_SENT as e:
                    reasons.append(f"{node}: {e}")
                    continue
                except (urllib3.exceptions.HTTPError, ValueError) as e:
                    may_be_accepted = True
                    reasons.append(f"{node}: {_reason(e)}")
                    continue
                if status not in _NOT_FINAL:
                    return status, answer
                if status != 503:
                    may_be_accepted = True
                refusal = (status, answer)
                reasons.append(f"{node}: {_message(answer)}")
        text = "; ".join(dict.fromkeys(reasons))
        # A node that cannot read the store refuses with 503. That says nothing about an earlier
        # attempt whose answer was lost.
        if may_be_accepted:
            raise operator_errors.ChangeOutcomeUnknown(text)
        if refusal is not None:
            return refusal
        raise operator_errors.NodeUnreachable(text)

    def _call(self, method, path, document):
        reasons = []
        for node in self._nodes:
            try:
                return self._request(method, node, path, document)
            except (urllib3.exceptions.HTTPError, ValueError) as e:
                reasons.append(f"{node}: {_reason(e)}")
        raise operator_errors.NodeUnreachable("; ".join(reasons))

    def _request(self, method, node, path, document):
        response = self._pool.request(
            method,
            f"{node}/admin/v1/{path}",
            body=None if document is None else json.dumps(document).encode(),
            headers={"Content-Type": "application/json"},
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )
        decoded = json.loads(response.data)
        if not isinstance(decoded, dict):
            raise ValueError("the answer is not a JSON object; is this a peer listener?")
        return response.status, decoded


def _reason(error):
    if isinstance(error, json.JSONDecodeError):
        return "the answer is not JSON; is this a peer listener?"
    return str(error)


def _message(answer):
    error = answer.get("error")
    return error.get("message", "no reason given") if isinstance(error, dict) else str(answer)
