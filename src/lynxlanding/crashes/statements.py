"""What nodes tell each other about ends of endpoints and parts of prompts."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class EndStatement:
    """End of an endpoint, as one node has seen it.

    Parameters
    ----------
    endpoint_key : int
        Hash of the endpoint id.
    started_ms : int
        Start of the endpoint's incarnation, in Unix milliseconds.
    ended_at : float
        When attempts broke off, in seconds.
    sent_at_by_part : dict of int to float
        Parts of the prompts that the endpoint was working on, with the last time at which such a
        request was sent to it, in seconds.
    """

    endpoint_key: int
    started_ms: int
    ended_at: float
    sent_at_by_part: dict[int, float]

    @property
    def key(self):
        """Identity of the end: an incarnation ends once."""
        return self.endpoint_key, self.started_ms

    def shift(self, offset_s):
        """Return the same statement on another clock."""
        sent_at_by_part = {part: at + offset_s for part, at in self.sent_at_by_part.items()}
        return dataclasses.replace(
            self, ended_at=self.ended_at + offset_s, sent_at_by_part=sent_at_by_part
        )


@dataclasses.dataclass(slots=True, frozen=True)
class HarmlessStatement:
    """An engine has written an answer on a part and lives.

    Parameters
    ----------
    part : int
        Key of the part.
    begun_at : float
        When the answer began, in seconds.
    """

    part: int
    begun_at: float

    def shift(self, offset_s):
        """Return the same statement on another clock."""
        return dataclasses.replace(self, begun_at=self.begun_at + offset_s)


@dataclasses.dataclass(slots=True, frozen=True)
class QuarantineStatement:
    """Requests with all of these parts are refused.

    Parameters
    ----------
    parts : frozenset of int
        Keys of the parts.
    named_at : float
        When the parts were first named, in seconds.
    last_end_at : float
        Last end of an endpoint under them, in seconds.
    last_seen_at : float
        Last request with them, in seconds.
    trials : int
        Requests that were sent to find out whether they are harmless.
    last_trial_at : float
        Time of the last of these, in seconds; ``named_at`` if there was none.
    """

    parts: frozenset[int]
    named_at: float
    last_end_at: float
    last_seen_at: float
    trials: int
    last_trial_at: float

    def shift(self, offset_s):
        """Return the same statement on another clock."""
        return dataclasses.replace(
            self,
            named_at=self.named_at + offset_s,
            last_end_at=self.last_end_at + offset_s,
            last_seen_at=self.last_seen_at + offset_s,
            last_trial_at=self.last_trial_at + offset_s,
        )

    def merge(self, other):
        """Return what follows from this statement and one on the same parts."""
        return QuarantineStatement(
            self.parts,
            min(self.named_at, other.named_at),
            max(self.last_end_at, other.last_end_at),
            max(self.last_seen_at, other.last_seen_at),
            max(self.trials, other.trials),
            max(self.last_trial_at, other.last_trial_at),
        )


@dataclasses.dataclass(slots=True, frozen=True)
class PromptStatements:
    """All statements of a report."""

    ends: tuple[EndStatement, ...] = ()
    harmless: tuple[HarmlessStatement, ...] = ()
    quarantines: tuple[QuarantineStatement, ...] = ()

    def shift(self, offset_s):
        """Return the same statements on another clock."""
        return PromptStatements(
            tuple(item.shift(offset_s) for item in self.ends),
            tuple(item.shift(offset_s) for item in self.harmless),
            tuple(item.shift(offset_s) for item in self.quarantines),
        )
