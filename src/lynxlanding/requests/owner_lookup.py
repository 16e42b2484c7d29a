"""Asks the node that owns a claim for its outcome."""

from typing import Protocol

import urllib3

from lynxlanding.requests import claim_events, claim_record, node_identity, recorded_response
from lynxlanding.transport import json_document

CONNECT_TIMEOUT_S = 2.0
# The owner responds this long before the asking node stops waiting, but at most a quarter of the
# wait before.
RESPONSE_MARGIN_S = 0.5
CLAIMS_PATH = "/peer/v1/claims/"

_OUTCOMES = claim_record.STATES | {claim_events.PENDING, claim_events.FORGOTTEN}


class OwnerLookup(Protocol):
    """Gets the outcome of a claim from the node that owns it."""

    def ask(
        self, owner: node_identity.NodeIdentity, token: str, wait_s: float
    ) -> claim_events.OwnerAnswered:
        """Wait up to ``wait_s`` seconds for the outcome; never raises."""
        ...


class HttpOwnerLookup:
    """``OwnerLookup`` over HTTP, with the peer listener of the owner.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Connection pool.
    """

    def __init__(self, pool):
        self._pool = pool

    def ask(self, owner, token, wait_s):
        """Wait up to ``wait_s`` seconds for the outcome; never raises."""
        owner_wait_s = wait_s - min(RESPONSE_MARGIN_S, wait_s / 4)
        try:
            response = self._pool.request(
                "GET",
                f"http://{owner.address}{CLAIMS_PATH}{token}?wait_ms={int(owner_wait_s * 1000)}",
                retries=False,
                timeout=urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, wait_s), total=wait_s),
            )
        except urllib3.exceptions.NewConnectionError as e:
            if isinstance(e.__cause__, ConnectionRefusedError):
                # Nothing listens at the address: the process that owned the claim has ended.
                return claim_events.OwnerAnswered(claim_events.DEAD)
            return claim_events.OwnerAnswered(claim_events.UNREACHABLE)
        except urllib3.exceptions.HTTPError:
            return claim_events.OwnerAnswered(claim_events.UNREACHABLE)
        if response.status != 200:
            return claim_events.OwnerAnswered(claim_events.UNREACHABLE)
        return decode(response.data, owner)


def encode(event, identity):
    """Return the JSON value of a response to a peer.

    Parameters
    ----------
    event : OwnerAnswered
        Outcome of the claim.
    identity : NodeIdentity
        Node that responds.
    """
    response = None if event.response is None else event.response.encode()
    return {
        "incarnation": identity.incarnation,
        "outcome": event.outcome,
        "response": response,
    }


def decode(body, owner):
    """Decode the outcome in the response body of a peer.

    Parameters
    ----------
    body : bytes
        Response body.
    owner : NodeIdentity
        Process that owned the claim.
    """
    try:
        document = json_document.decode(body)
        if document["incarnation"] != owner.incarnation:
            # The node was restarted: the process that owned the claim has ended.
            return claim_events.OwnerAnswered(claim_events.DEAD)
        response = document["response"]
        if document["outcome"] not in _OUTCOMES:
            raise ValueError(f"outcome {document['outcome']!r}")
        return claim_events.OwnerAnswered(
            document["outcome"], None if response is None else recorded_response.decode(response)
        )
    except (KeyError, TypeError, ValueError):
        return claim_events.OwnerAnswered(claim_events.UNREACHABLE)
