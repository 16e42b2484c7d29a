"""Actor that owns a node's state of the fabric domains."""

import pykka


class DomainActor(pykka.ThreadingActor):
    """Owns a ``FleetController``; callers reach its methods through ``proxy().fleet``.

    Parameters
    ----------
    fleet : FleetController
        Controller; accessed only by this actor.
    """

    def __init__(self, fleet):
        super().__init__()
        self.fleet = pykka.traversable(fleet)
