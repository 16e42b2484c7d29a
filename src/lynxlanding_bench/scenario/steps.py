"""Typed steps of a scenario. Durations are in seconds."""

import dataclasses

NODE = "node"
ENGINE = "engine"
VM = "vm"
SERVICE = "service"
STORE = "store"
INDEXED = (NODE, ENGINE, VM)


@dataclasses.dataclass(slots=True, frozen=True)
class ProcessReference:
    """A process: the kind, and the index where there are several."""

    kind: str
    index: int = 0

    def __str__(self):
        return f"{self.kind} {self.index}" if self.kind in INDEXED else self.kind


@dataclasses.dataclass(slots=True, frozen=True)
class StartFleet:
    """Start all stand-ins and nodes."""


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Send calls in the background.

    ``kind`` is streams, bookings (with a key) or unkeyed; a booking that was not answered is
    submitted up to ``retry`` more times, each time to the next node.
    """

    name: str
    kind: str
    rate_per_s: float
    duration_s: float
    tokens: int = 20
    retry: int = 0
    nodes: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """Wait for a time."""

    duration_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class WaitForLoad:
    """Wait until all calls of a load have ended."""

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class SignalProcess:
    """Act on a process: kill, pause, resume, stop (planned) or restart."""

    action: str
    process: ProcessReference
    duration_s: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class SetFaults:
    """Set faults of a stand-in through its test control."""

    process: ProcessReference
    faults: dict


@dataclasses.dataclass(slots=True, frozen=True)
class Operator:
    """Submit commands to a node; ``expects`` is None if any outcome is allowed."""

    name: str
    text: str
    node: int
    expects: str | None


@dataclasses.dataclass(slots=True, frozen=True)
class Together:
    """Run the steps at the same time, and continue when all have ended."""

    steps: tuple


@dataclasses.dataclass(slots=True, frozen=True)
class ExpectRevision:
    """Every running node has at least this revision within a time."""

    revision: int
    within_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Expect:
    """Compare a count, or its share of the calls in percent, with a limit."""

    metric: str
    load: str | None
    comparison: str
    limit: float
    percent: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Check:
    """Check the history so far; every scenario also ends with a check."""


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """A parsed scenario.

    Parameters
    ----------
    title : str
        What the scenario shows.
    seed : int
        Seed of the arrival times.
    options : dict of str to float
        Sizes of the installation; durations in seconds.
    steps : tuple
        Steps in order.
    """

    title: str
    seed: int
    options: dict
    steps: tuple
