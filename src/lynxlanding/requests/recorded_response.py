"""The part of a response that is kept for repeated requests."""

import base64
import binascii
import dataclasses

MAX_BODY_BYTES = 256 << 10


@dataclasses.dataclass(slots=True, frozen=True)
class RecordedResponse:
    """A complete response, as it is replayed to a repeated request.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple of str
        Names and values.
    body : bytes or None
        Complete body; None if it was larger than ``MAX_BODY_BYTES`` and was not kept.
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


def record(status, headers, body):
    """Return the response to keep; a body above the limit is left out.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : iterable of tuple of str
        Names and values.
    body : bytes or None
        Complete body; None if the relay stopped collecting it at the limit.

    Returns
    -------
    RecordedResponse
        The response to keep.
    """
    if body is not None and len(body) > MAX_BODY_BYTES:
        body = None
    return RecordedResponse(status, tuple((name, value) for name, value in headers), body)


def decode(value):
    """Return the response that ``encode`` wrote.

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
