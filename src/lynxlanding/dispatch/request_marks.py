"""What a caller's headers say about a request."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RequestMarks:
    """Decoded headers of a request.

    Parameters
    ----------
    request_id : str
        Identity of this attempt of the caller; empty if there is none.
    key : str or None
        Bearer key.
    patience_s : float or None
        How long the caller waits, in seconds.
    model : str or None
        Requested model.
    prompt_tokens, max_answer_tokens : int
        Sizes that the caller states; 0 where it does not.
    expected_answer_tokens : int or None
        The caller's estimate of the answer.
    last_event_id : int or None
        Last event that the caller has, when it resumes a stream.
    """

    request_id: str
    key: str | None = None
    patience_s: float | None = None
    model: str | None = None
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    expected_answer_tokens: int | None = None
    last_event_id: int | None = None
