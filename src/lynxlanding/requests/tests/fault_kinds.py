"""Combinations of injected faults for the simulations of keyed requests."""

import itertools

NODE_DEATH = "node_death"
NODE_PAUSE = "node_pause"
STRAGGLER = "straggler"
PARTITION = "partition"
STORE_OUTAGE = "store_outage"
LOST_STORE_RESPONSE = "lost_answer"
EXPIRED_WINDOW = "expired_window"
REPEAT_ELSEWHERE = "repeat_elsewhere"

KINDS = (
    NODE_DEATH,
    NODE_PAUSE,
    STRAGGLER,
    PARTITION,
    STORE_OUTAGE,
    LOST_STORE_RESPONSE,
    EXPIRED_WINDOW,
    REPEAT_ELSEWHERE,
)
# Each kind once, each kind twice and each pair: 44 combinations, selected in turn by the seed.
COMBINATIONS = (
    [(kind,) for kind in KINDS]
    + [(kind, kind) for kind in KINDS]
    + list(itertools.combinations(KINDS, 2))
)


def faults_for_seed(seed):
    """Return the faults of the simulation with a seed."""
    return COMBINATIONS[seed % len(COMBINATIONS)]
