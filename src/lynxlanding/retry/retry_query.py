"""Query to the retry policy."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RetryQuery:
    """A retry that the request's own rules permit.

    Parameters
    ----------
    target : tuple of str
        Kind and name of the target; expected durations are kept per target.
    attempts : int
        Attempts so far.
    deadline : float
        Deadline on the monotonic clock, in seconds.
    resumes : bool
        Whether the retry continues a stream that has begun.
    may_use_reserve : bool
        Whether the retry replaces work that an endpoint lost or never received. Other retries
        add load to endpoints that may be overloaded.
    """

    target: tuple[str, str]
    attempts: int
    deadline: float
    resumes: bool
    may_use_reserve: bool
