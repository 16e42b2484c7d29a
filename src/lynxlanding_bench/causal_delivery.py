"""Command ``causal-delivery``: causal delivery of updates against total order, on one trace.

In total order an update is applied after all earlier revisions. In causal order (Baldoni, Milani,
Tucci-Piergiovanni) it is applied after the updates that its writer had really read: the previous
changes of the objects that it changes and of the objects that these refer to. The product does
neither: an update arrives as a snapshot that holds all earlier ones, so it takes effect with the
first revision that arrives and is not lower (``snapshot``).
"""

import click
import numpy as np

from lynxlanding_bench import result_file

DAY_S = 86_400.0
CHANGES_PER_DAY = 2700
OBJECTS = 500
REFERENCES = 2
# Share of changes that come in rollouts of this many changes, this far apart.
ROLLOUT_SHARE = 0.6
ROLLOUT_CHANGES = 20
ROLLOUT_GAP_S = 0.5
# Delay of one update to one node: normally the gossip's, measured by ``propagation-time``; in a
# disturbed hour some updates take a second way after a lost exchange or a slow store.
NORMAL_S = 0.05
DISTURBED_S = 3.0


@click.command("causal-delivery")
@click.option("--seed", default=1, show_default=True)
@click.option("--nodes", default=60, show_default=True)
def command(seed, nodes):
    """Compare the updates that wait for others, and for how long."""
    rows = []
    for share in (0.0, 0.01, 0.1, 0.5):
        rows.extend(_compare(seed, nodes, share))
    settings = {
        "nodes": nodes,
        "changes": CHANGES_PER_DAY,
        "objects": OBJECTS,
        "disturbed_s": DISTURBED_S,
    }
    result_file.save("causal-delivery", seed, settings, rows)


def make_trace(random_state):
    """Return the times of the changes and what the writer of each had read.

    Returns
    -------
    times : list of float
        Commit times in order, seconds.
    reads : list of set of int
        Indices of the earlier changes that each one depends on directly.
    """
    times, subjects = [], []
    while len(times) < CHANGES_PER_DAY:
        start = float(random_state.uniform(0, DAY_S))
        is_rollout = random_state.random() < ROLLOUT_SHARE / ROLLOUT_CHANGES / (
            ROLLOUT_SHARE / ROLLOUT_CHANGES + 1 - ROLLOUT_SHARE
        )
        first = int(random_state.integers(OBJECTS))
        for index in range(ROLLOUT_CHANGES if is_rollout else 1):
            times.append(start + index * ROLLOUT_GAP_S)
            # A rollout goes through the objects one after the other.
            subjects.append((first + index) % OBJECTS)
    order = sorted(range(CHANGES_PER_DAY), key=lambda index: times[index])
    references = random_state.integers(OBJECTS, size=(OBJECTS, REFERENCES))
    last_change, reads = {}, []
    for position, index in enumerate(order):
        subject = subjects[index]
        read = set()
        for item in (subject, *references[subject].tolist()):
            if item in last_change:
                read.add(last_change[item])
        reads.append(read)
        last_change[subject] = position
    return [times[index] for index in order], reads


def _compare(seed, nodes, disturbed_share):
    random_state = np.random.default_rng(seed)
    times, reads = make_trace(random_state)
    waits = {"total": [], "causal": [], "snapshot": []}
    effects = {"total": [], "causal": [], "snapshot": []}
    for _ in range(nodes):
        arrivals = _arrivals(random_state, times, disturbed_share)
        applied_by_order = {
            "total": np.maximum.accumulate(arrivals),
            "causal": _apply_causal(arrivals, reads),
            "snapshot": np.minimum.accumulate(arrivals[::-1])[::-1],
        }
        for order, applied in applied_by_order.items():
            waits[order].append(np.maximum(applied - arrivals, 0))
            effects[order].append(applied - times)
    rows = []
    for order, order_waits in waits.items():
        measured = np.concatenate(order_waits)
        effect = np.concatenate(effects[order])
        delayed = measured[measured > 0]
        rows.append(
            {
                "disturbed updates [%]": 100 * disturbed_share,
                "order": order,
                "updates that wait [%]": 100 * float(len(delayed) / len(measured)),
                "mean wait of these [s]": float(delayed.mean()) if len(delayed) else 0.0,
                "longest wait [s]": float(measured.max()),
                "mean time to effect [s]": float(effect.mean()),
                "p99 time to effect [s]": float(np.quantile(effect, 0.99)),
                "longest time to effect [s]": float(effect.max()),
            }
        )
    return rows


def _arrivals(random_state, times, disturbed_share):
    count = len(times)
    delays = random_state.exponential(NORMAL_S, count)
    is_disturbed = random_state.random(count) < disturbed_share
    delays += is_disturbed * random_state.exponential(DISTURBED_S, count)
    return np.asarray(times) + delays


def _apply_causal(arrivals, reads):
    applied = []
    for arrival, read in zip(arrivals.tolist(), reads, strict=True):
        ready_at = max((applied[index] for index in read), default=arrival)
        applied.append(max(ready_at, arrival))
    return np.asarray(applied)
