"""A request for permission to retry."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RetryQuestion:
    """A retry that would be permissible for the request itself.

    Parameters
    ----------
    target : tuple of str
        Target kind and target; the unit for which times are expected.
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
