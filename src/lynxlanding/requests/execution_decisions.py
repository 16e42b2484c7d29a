"""Actions that ``execution.Execution`` requests."""

import dataclasses

from lynxlanding.errors import request as request_errors
from lynxlanding.retry import retry_query


@dataclasses.dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send an attempt.

    Parameters
    ----------
    attempt_id : str
        Id that the response must echo.
    last_event_id : int or None
        Number of the event after which to resume the stream, or None.
    """

    attempt_id: str
    last_event_id: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class ReadBody:
    """Read the body; the response belongs to the attempt."""


@dataclasses.dataclass(slots=True, frozen=True)
class Forward:
    """Forward events to the caller.

    Parameters
    ----------
    events : list of bytes
        Events in order; each event is forwarded exactly once over all attempts.
    done : bool
        Whether the stream is complete.
    """

    events: list[bytes]
    done: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Complete:
    """The response is complete."""


@dataclasses.dataclass(slots=True, frozen=True)
class Drop:
    """Discard a delivery that belongs to a replaced attempt or to a request that has ended."""


@dataclasses.dataclass(slots=True, frozen=True)
class AskRetry:
    """Ask the retry policy and pass the result to ``Execution.on_retry_decision``."""

    query: retry_query.RetryQuery


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """Give up with this error."""

    error: request_errors.RequestError
