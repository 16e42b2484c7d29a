"""Response that is stored for repeated requests."""

import base64
import binascii
import dataclasses

MAX_BODY_BYTES = 256 << 10


@dataclasses.dataclass(slots=True, frozen=True)
class RecordedResponse:
    """Complete response that is replayed to repeated requests.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple of str
        Names and values.
    body : bytes or None
        Complete body; None if it was not stored because it exceeds ``MAX_BODY_BYTES``.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None

    def encode(self):
        """Return the response as a JSON value."""
        body = None if self.body is None else base64.b64encode(self.body).decode("ascii")
        return {
            "status": self.status,
            "headers": [[name, value] for name, value in self.headers],
            "body": body,
        }


def make_recorded_response(status, headers, body):
    """Return the response to store, without its body if that exceeds the limit.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : iterable of tuple of str
        Names and values.
    body : bytes or None
        Complete body; None if it is not available.

    Returns
    -------
    RecordedResponse
        Response to store.
    """
    if body is not None and len(body) > MAX_BODY_BYTES:
        body = None
    return RecordedResponse(status, tuple((name, value) for name, value in headers), body)


def decode(value):
    """Decode a response from the result of ``encode``.

    Raises
    ------
    ValueError
        If a field is missing or malformed.
    """
    try:
        headers = tuple((str(name), str(text)) for name, text in value["headers"])
        body = None
        if value["body"] is not None:
            body = base64.b64decode(value["body"], validate=True)
        return RecordedResponse(int(value["status"]), headers, body)
    except (KeyError, TypeError, binascii.Error) as e:
        raise ValueError(f"recorded response: {e!r}") from e
