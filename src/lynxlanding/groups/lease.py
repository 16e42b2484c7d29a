"""Lease of the controller of a domain, stored in the domain object."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Lease:
    """Time-limited right to control a fabric domain.

    The lease only avoids duplicate work. Safety is ensured by the conditional update of the domain
    object, and for orders by the fencing number and the rules of ``lease_manager``.

    Parameters
    ----------
    holder : str
        Node and incarnation that hold the lease; empty after a release.
    term : int
        Number that increases with each new holder; used as the fencing number of orders.
    renewal : int
        Number of renewals within the term. Observers detect a renewal by it and measure the age of
        the lease on their own monotonic clock.
    """

    holder: str = ""
    term: int = 0
    renewal: int = 0

    @property
    def is_released(self):
        """Whether the last holder has released the lease."""
        return self.holder == ""

    def to_value(self):
        """Return the JSON representation."""
        return {"holder": self.holder, "term": self.term, "renewal": self.renewal}


def from_value(value):
    """Return the lease described by a JSON value."""
    return Lease(value["holder"], int(value["term"]), int(value["renewal"]))
