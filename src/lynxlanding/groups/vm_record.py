"""One VM in a domain object."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class VmRecord:
    """A VM of a fabric domain.

    Parameters
    ----------
    name, address, place : str
        Values of the VM list.
    accelerators : int
        Number of accelerators.
    is_leaving : bool
        Whether the VM is leaving and must not be placed in a group.
    """

    name: str
    address: str
    place: str
    accelerators: int
    is_leaving: bool = False

    def to_value(self):
        """Return the JSON representation."""
        return {
            "address": self.address,
            "place": self.place,
            "accelerators": self.accelerators,
            "leaving": self.is_leaving,
        }


def from_value(name, value):
    """Return the VM described by a JSON value."""
    return VmRecord(
        name, value["address"], value["place"], int(value["accelerators"]), bool(value["leaving"])
    )
