"""HTTP client of the admin API with retries."""

import json
import time

import urllib3

from lynxlanding.errors import operators as operator_errors

CONNECT_TIMEOUT_S = 2.0
# A commit may wait for a slow store; the node gives up with a 504 well before this timeout.
READ_TIMEOUT_S = 30.0
MAX_ATTEMPTS = 4
INITIAL_RETRY_DELAY_S = 0.25
_CONNECT_ERRORS = (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)
# 500 is included because the outcome of a commit is unknown if the node fails during it.
_RETRYABLE_STATUSES = (500, 503, 504)


class AdminClient:
    """Sends requests to the admin API of the first node that responds.

    Parameters
    ----------
    nodes : sequence of str
        Base URLs of peer listeners, tried in order.
    pool : urllib3.PoolManager
        Connection pool.
    sleep : callable, optional
        Called with the number of seconds to wait between attempts.
    """

    def __init__(self, nodes, pool, sleep=time.sleep):
        self._nodes = [node.rstrip("/") for node in nodes]
        self._pool = pool
        self._sleep = sleep

    def get(self, path):
        """Return status and response document of a GET; raises ``NodeUnreachable``."""
        return self._request_any_node("GET", path, None)

    def query(self, text):
        """Run queries and return status and response document; raises ``NodeUnreachable``."""
        return self._request_any_node("POST", "query", {"text": text})

    def apply(self, document):
        """Submit a change and return status and response document.

        Every attempt carries the same change id, so a retry after a lost response is safe.

        Raises
        ------
        errors.operators.NodeUnreachable
            If the change certainly did not reach any node.
        errors.operators.ChangeOutcomeUnknown
            If the change may have been accepted.
        """
        delay_s = INITIAL_RETRY_DELAY_S
        last_response = None
        may_be_accepted = False
        failures = []
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                self._sleep(delay_s)
                delay_s *= 2
            for node in self._nodes:
                try:
                    status, response = self._request("POST", node, "apply", document)
                except _CONNECT_ERRORS as e:
                    failures.append(f"{node}: {e}")
                    continue
                except (urllib3.exceptions.HTTPError, ValueError) as e:
                    may_be_accepted = True
                    failures.append(f"{node}: {_describe_exception(e)}")
                    continue
                if status not in _RETRYABLE_STATUSES:
                    return status, response
                if status != 503:
                    may_be_accepted = True
                last_response = (status, response)
                failures.append(f"{node}: {_read_error_message(response)}")
        text = "; ".join(dict.fromkeys(failures))
        # A 503 from a node that cannot read the store does not tell whether an earlier attempt,
        # whose response was lost, was accepted.
        if may_be_accepted:
            raise operator_errors.ChangeOutcomeUnknown(text)
        if last_response is not None:
            return last_response
        raise operator_errors.NodeUnreachable(text)

    def _request_any_node(self, method, path, document):
        failures = []
        for node in self._nodes:
            try:
                return self._request(method, node, path, document)
            except (urllib3.exceptions.HTTPError, ValueError) as e:
                failures.append(f"{node}: {_describe_exception(e)}")
        raise operator_errors.NodeUnreachable("; ".join(failures))

    def _request(self, method, node, path, document):
        http_response = self._pool.request(
            method,
            f"{node}/admin/v1/{path}",
            body=None if document is None else json.dumps(document).encode(),
            headers={"Content-Type": "application/json"},
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )
        response = json.loads(http_response.data)
        if not isinstance(response, dict):
            raise ValueError("the answer is not a JSON object; is this a peer listener?")
        return http_response.status, response


def _describe_exception(error):
    if isinstance(error, json.JSONDecodeError):
        return "the answer is not JSON; is this a peer listener?"
    return str(error)


def _read_error_message(response):
    error = response.get("error")
    return error.get("message", "no reason given") if isinstance(error, dict) else str(response)
