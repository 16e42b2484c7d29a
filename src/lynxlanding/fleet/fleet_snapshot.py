"""Contents of the registry at one moment."""

import dataclasses

from lynxlanding.fleet import endpoint_record
from lynxlanding.store import store_version


@dataclasses.dataclass(slots=True, frozen=True)
class FleetSnapshot:
    """Contents of the registry and how recent they are.

    Parameters
    ----------
    records : dict of str to EndpointRecord
        Records by endpoint id, including leaving endpoints.
    is_store_available : bool
        Whether the last call to the store succeeded.
    version : StoreVersion or None
        Version of the store up to which the records are complete; None before the first list.
    read_at : float or None
        When the store returned that version, in monotonic seconds; None before the first list.
    """

    records: dict[str, endpoint_record.EndpointRecord]
    is_store_available: bool
    version: store_version.StoreVersion | None = None
    read_at: float | None = None

    def covers(self, version):
        """Return whether the records are complete up to a version of the store.

        Versions of another era cannot be compared, so records of another era do not cover it.
        """
        if self.version is None or self.version.era != version.era:
            return False
        return self.version >= version
