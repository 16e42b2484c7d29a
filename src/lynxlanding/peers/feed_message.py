"""Changes of the store that one node passes on to others."""

import dataclasses

from lynxlanding.store import store_version, stored_object

# Kind of the messages that tell what their sender waits for; earlier versions know no such kind of
# objects, and ignore them.
WAITING = ""
_NO_VERSION = store_version.StoreVersion(0, 0)


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
    age_ms : int
        Time since the store has answered the sender.
    waiting_kinds : tuple of str
        Kinds for which the sender waits for an answer of the store. Such a message has the kind
        ``WAITING`` and no changes.
    substitute_address : str
        Address of the sender if it acts as a relay because the store refuses all candidates for
        relays; empty for a relay.
    latest : StoreVersion or None
        Version at which the last configuration that the sender knows was written, for its kind. A
        receiver that has read it misses nothing, whatever the other versions are.
    """

    kind: str
    after: store_version.StoreVersion
    version: store_version.StoreVersion
    puts: tuple[stored_object.StoredObject, ...] = ()
    deletes: tuple[str, ...] = ()
    is_complete: bool = True
    was_outage: bool = False
    age_ms: int = 0
    waiting_kinds: tuple[str, ...] = ()
    substitute_address: str = ""
    latest: store_version.StoreVersion | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Subscription:
    """Request of a node to be sent the changes for the next seconds.

    Parameters
    ----------
    address : str
        ``host:port`` at which the node receives messages.
    versions : dict of str to StoreVersion
        Versions that the node has reached, by kind, if it asks for what it has missed.
    """

    address: str
    versions: dict[str, store_version.StoreVersion] = dataclasses.field(default_factory=dict)


def make_waiting_message(kinds):
    """Return the message that tells subscribers that the store does not answer their relay."""
    return FeedMessage(
        WAITING, _NO_VERSION, _NO_VERSION, is_complete=False, waiting_kinds=tuple(kinds)
    )


def replace_all(message, stored):
    """Return a message with one object that replaces all earlier ones of its kind.

    It leads from any version of the message's era to that of the message.
    """
    first_version = store_version.StoreVersion(message.version.era, 0)
    return dataclasses.replace(message, after=first_version, puts=(stored,), deletes=())
