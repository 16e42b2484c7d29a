"""Lease of a domain's controller, as stored in the domain object."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Lease:
    """Right to act for a fabric domain for a while.

    The lease only avoids wasted work. Safety comes from the conditional update of the domain
    object, and for orders from the fencing number and the rules of ``lease_manager``.

    Parameters
    ----------
    holder : str
        Node and incarnation that hold the lease; empty when it was released.
    term : int
        Number of changes of holder; the fencing number of orders.
    renewal : int
        Number of renewals within the term. It makes a renewal visible to observers, which
        measure the age of a lease on their own monotonic clock.
    """

    holder: str = ""
    term: int = 0
    renewal: int = 0

    @property
    def is_free(self):
        """Whether the last holder released the lease."""
        return self.holder == ""

    def to_value(self):
        """Return the JSON form."""
        return {"holder": self.holder, "term": self.term, "renewal": self.renewal}


def from_value(value):
    """Return the lease of a JSON form."""
    return Lease(value["holder"], int(value["term"]), int(value["renewal"]))
