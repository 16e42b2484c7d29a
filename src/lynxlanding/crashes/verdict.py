"""Decision about a request that is under quarantine, or its prompt."""

import dataclasses

from lynxlanding.crashes import request_digest


@dataclasses.dataclass(slots=True, frozen=True)
class Verdict:
    """What to do with a request.

    Parameters
    ----------
    parts : frozenset of int
        The parts under quarantine, or the key of the request.
    is_trial : bool
        Whether the request is sent nevertheless, to find out whether it is harmless.
    named_at : float
        When the parts were named, in monotonic seconds.
    """

    parts: frozenset[int]
    is_trial: bool
    named_at: float

    @property
    def is_on_request(self):
        """Whether the request itself is under quarantine, and not parts of its prompt."""
        return request_digest.contains_request(self.parts)
