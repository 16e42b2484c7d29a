"""Begin or end of a quarantine of parts of prompts."""

import dataclasses

from lynxlanding.crashes import statements


@dataclasses.dataclass(slots=True, frozen=True)
class QuarantineChange:
    """Begin or end of a quarantine.

    Parameters
    ----------
    statement : QuarantineStatement
        The quarantine.
    source : str
        Id of the node that this node has it from.
    ended_because : str or None
        Why it has ended; None if it has begun.
    """

    statement: statements.QuarantineStatement
    source: str
    ended_because: str | None = None
