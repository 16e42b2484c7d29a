"""Record of a claim, as it is stored."""

import dataclasses
import hashlib

from lynxlanding.requests import node_identity, recorded_response

KIND = "claims"

CLAIMED = "claimed"
DONE = "done"
NOT_RUN = "not_run"
UNKNOWN = "unknown"
STATES = frozenset((CLAIMED, DONE, NOT_RUN, UNKNOWN))


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimRecord:
    """Which node may send a request with an idempotency key, and the outcome of the request.

    Parameters
    ----------
    fingerprint : str
        SHA-256 of method, path with query, and body.
    owner : NodeIdentity
        Node that claimed the request.
    token : str
        Random token of one submission; only the submission that generated it may send.
    state : {"claimed", "done", "not_run", "unknown"}
        State of the request: ``claimed`` while it is pending; ``not_run`` releases the key.
    created_at : float
        Wall-clock time of the claim, in seconds since the epoch.
    response : RecordedResponse or None
        The response, in state ``done``.
    """

    fingerprint: str
    owner: node_identity.NodeIdentity
    token: str
    state: str
    created_at: float
    response: recorded_response.RecordedResponse | None = None

    def encode(self):
        """Return the record as a JSON value."""
        return {
            "fingerprint": self.fingerprint,
            "owner": self.owner.node_id,
            "incarnation": self.owner.incarnation,
            "address": self.owner.address,
            "token": self.token,
            "state": self.state,
            "created_at": self.created_at,
            "response": None if self.response is None else self.response.encode(),
        }


def decode(value):
    """Decode a record from the result of ``encode``.

    Raises
    ------
    ValueError
        If a field is missing or malformed.
    """
    try:
        if value["state"] not in STATES:
            raise ValueError(f"claim in state {value['state']!r}")
        response = value["response"]
        return ClaimRecord(
            str(value["fingerprint"]),
            node_identity.NodeIdentity(
                str(value["owner"]), str(value["incarnation"]), str(value["address"])
            ),
            str(value["token"]),
            value["state"],
            float(value["created_at"]),
            None if response is None else recorded_response.decode(response),
        )
    except (KeyError, TypeError) as e:
        raise ValueError(f"claim without field {e}") from e


def make_object_name(workspace, key):
    """Return the object name of a claim: SHA-256 of workspace and idempotency key."""
    return _digest(workspace.encode(), key.encode())


def compute_fingerprint(method, path, body):
    """Return the SHA-256 of method, path with query, and body."""
    return _digest(method.encode(), path.encode(), body)


def _digest(*parts):
    digest = hashlib.sha256()
    for part in parts:
        # The length distinguishes ("ab", "c") from ("a", "bc").
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
