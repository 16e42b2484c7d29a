"""What an execution asks its driver to do."""

import dataclasses

from lynxlanding.errors import request as request_errors
from lynxlanding.retry import retry_question


@dataclasses.dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send the request once.

    Parameters
    ----------
    attempt_id : str
        Identity that the response must echo.
    last_event_id : int or None
        Resume the stream after this event.
    """

    attempt_id: str
    last_event_id: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class ReadBody:
    """The response belongs to the attempt; read its body."""


@dataclasses.dataclass(slots=True, frozen=True)
class Forward:
    """Forward events to the caller.

    Parameters
    ----------
    events : list of bytes
        Events in order, each exactly once over all attempts.
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
    """Discard a response that belongs to a replaced attempt or an ended request."""


@dataclasses.dataclass(slots=True, frozen=True)
class AskRetry:
    """Ask the retry policy; give its answer to ``Execution.on_retry_answer``."""

    question: retry_question.RetryQuestion


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """Give up at once with this error."""

    error: request_errors.RequestError
