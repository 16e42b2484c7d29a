"""Records of one run, indexed for the checks."""

import dataclasses


@dataclasses.dataclass(slots=True)
class History:
    """Records in order of time.

    Parameters
    ----------
    records : list of dict
        Decoded records.
    unreadable : list of str
        Lines that could not be decoded.
    """

    records: list
    unreadable: list = dataclasses.field(default_factory=list)

    def of_event(self, *events):
        """Return the records of some events, in order of time."""
        return [record for record in self.records if record["event"] in events]

    def answers_by_call(self):
        """Return pairs of call and answer; the answer is None if it is missing."""
        answers = {}
        for record in self.of_event("answer"):
            answers.setdefault(record["id"], record)
        return [(call, answers.get(call["id"])) for call in self.of_event("call")]

    def work(self):
        """Return the records of work at endpoints, in order of time."""
        return self.of_event("generate", "run")
