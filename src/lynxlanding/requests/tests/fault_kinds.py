"""Faults of one seeded schedule."""

import itertools

NODE_DEATH = "node_death"
NODE_PAUSE = "node_pause"
STRAGGLER = "straggler"
PARTITION = "partition"
STORE_OUTAGE = "store_outage"
LOST_ANSWER = "lost_answer"
EXPIRED_WINDOW = "expired_window"
REPEAT_ELSEWHERE = "repeat_elsewhere"

KINDS = (
    NODE_DEATH,
    NODE_PAUSE,
    STRAGGLER,
    PARTITION,
    STORE_OUTAGE,
    LOST_ANSWER,
    EXPIRED_WINDOW,
    REPEAT_ELSEWHERE,
)
# Each kind alone, each kind twice and each pair: 44 combinations in turn over the seeds.
COMBINATIONS = (
    [(kind,) for kind in KINDS]
    + [(kind, kind) for kind in KINDS]
    + list(itertools.combinations(KINDS, 2))
)


def of_seed(seed):
    """Return the faults of a schedule."""
    return COMBINATIONS[seed % len(COMBINATIONS)]
