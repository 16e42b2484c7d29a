"""Decision about a request whose prompt is under quarantine."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Verdict:
    """What to do with a request.

    Parameters
    ----------
    parts : frozenset of int
        The parts under quarantine.
    is_trial : bool
        Whether the request is sent nevertheless, to find out whether they are harmless.
    named_at : float
        When the parts were named, in monotonic seconds.
    """

    parts: frozenset[int]
    is_trial: bool
    named_at: float
