"""Changes of the store that one node passes on to others."""

import dataclasses

from lynxlanding.store import store_version, stored_object


@dataclasses.dataclass(slots=True, frozen=True)
class FeedMessage:
    """Changes of one kind of objects between two versions of the store.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    after : StoreVersion
        Version that the changes follow.
    version : StoreVersion
        Version that the changes lead to.
    puts : tuple of StoredObject
        Created and updated objects, oldest first.
    deletes : tuple of str
        Names of deleted objects.
    is_complete : bool
        Whether the changes are in the message. If not, the receiver reads them from the store.
    was_outage : bool
        Whether these are the first changes after an outage of the store.
    """

    kind: str
    after: store_version.StoreVersion
    version: store_version.StoreVersion
    puts: tuple[stored_object.StoredObject, ...] = ()
    deletes: tuple[str, ...] = ()
    is_complete: bool = True
    was_outage: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Subscription:
    """Request of a node to be sent the changes for the next seconds.

    Parameters
    ----------
    address : str
        ``host:port`` at which the node receives messages.
    """

    address: str
