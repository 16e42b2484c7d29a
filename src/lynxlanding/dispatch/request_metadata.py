"""Metadata of a request, decoded from the caller's headers."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RequestMetadata:
    """Metadata of a request.

    Parameters
    ----------
    request_id : str
        Identity that the caller gave this attempt; empty if there is none.
    api_key : str or None
        API key sent as a bearer token.
    caller_timeout_s : float or None
        Time that the caller is willing to wait, in seconds.
    model : str or None
        Requested model.
    prompt_tokens, max_answer_tokens : int
        Prompt size and limit of the answer; 0 if the caller does not state them.
    expected_answer_tokens : int or None
        The caller's estimate of the size of the answer.
    last_event_id : int or None
        Id of the last event that the caller received, if it resumes a stream.
    prompt_parts : tuple of int
        Keys of the parts of the prompt that other requests may share; the last part belongs to
        the request itself and is left out.
    """

    request_id: str
    api_key: str | None = None
    caller_timeout_s: float | None = None
    model: str | None = None
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    expected_answer_tokens: int | None = None
    last_event_id: int | None = None
    prompt_parts: tuple[int, ...] = ()
