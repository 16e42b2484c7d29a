"""Owner of a node's state about fabric domains."""

import pykka


class DomainActor(pykka.ThreadingActor):
    """Owns a ``FleetController``; callers reach its methods through ``proxy().fleet``.

    Parameters
    ----------
    fleet : FleetController
        Decisions; used by this actor only.
    """

    def __init__(self, fleet):
        super().__init__()
        self.fleet = pykka.traversable(fleet)
