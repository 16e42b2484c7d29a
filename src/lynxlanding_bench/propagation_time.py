"""Command ``propagation-time``: when an accepted change is in effect on every node."""

import click
import numpy as np

from lynxlanding_bench import control_network, control_trial, result_file

WARM_UP_S = 6.0
LIMIT_S = 40.0
STEP_S = 0.1
SLOW_STORE_S = 3.0
TARGET_S = {"normal": 3.0}
LATE_TARGET_S = 13.0
SCENARIOS = (
    "normal",
    "normal, committer gone",
    "slow store",
    "slow store, committer gone",
    "store unavailable after the commit",
    "half cut from the store",
    "half cut from the store, committer gone",
)


@click.command("propagation-time")
@click.option("--seed", default=1, show_default=True)
@click.option("--sizes", default="9,100,410", show_default=True, help="Numbers of nodes.")
@click.option("--commits", default=5, show_default=True, help="Changes of each scenario.")
def command(seed, sizes, commits):
    """Measure the time until an accepted change is in effect on every reachable node."""
    rows = []
    for nodes in (int(size) for size in sizes.split(",")):
        for scenario in SCENARIOS:
            rows.append(_run(scenario, nodes, seed, commits))
    settings = {"sizes": sizes, "commits": commits, "slow_store_s": SLOW_STORE_S}
    result_file.save("propagation-time", seed, settings, rows)


def _run(scenario, nodes, seed, commits):
    is_slow = scenario.startswith("slow store")
    store_s = SLOW_STORE_S if is_slow else control_network.STORE_S
    network = control_network.ControlNetwork(seed, store_s)
    trial = control_trial.ControlTrial(seed, nodes, network)
    names = list(trial.nodes)
    random_state = np.random.default_rng(seed)
    if scenario.startswith("half cut"):
        chosen = random_state.permutation(len(names))[: len(names) // 2]
        network.cut_from_store(names[index] for index in chosen)
    trial.run(WARM_UP_S + (4 * SLOW_STORE_S if is_slow else 0.0))
    times = []
    for _ in range(commits):
        reaching = [name for name in names if network.reaches_store(name)]
        committer = trial.nodes[reaching[int(random_state.integers(len(reaching)))]]
        started = trial.now
        is_gone = scenario.endswith("committer gone")
        number = trial.commit(None if is_gone else committer)
        if scenario.startswith("store unavailable"):
            network.set_store_available(False)
        times.append(_time_to_effect(trial, number, started))
        network.set_store_available(True)
        trial.run(float(random_state.uniform(0.5, 2.0)))
    target = TARGET_S.get(scenario.split(",", maxsplit=1)[0], LATE_TARGET_S)
    return {
        "nodes": nodes,
        "scenario": scenario,
        "last node mean [s]": float(np.mean(times)),
        "last node max [s]": float(np.max(times)),
        "target [s]": target,
        "reached": bool(np.max(times) <= target),
    }


def _time_to_effect(trial, number, started):
    """Return when the last node had adopted a revision, in seconds after the commit."""
    while trial.now - started < LIMIT_S:
        trial.run(STEP_S)
        if all(node.propagation.number >= number for node in trial.nodes.values()):
            last = max(
                min(at for adopted, at in node.adopted_at.items() if adopted >= number)
                for node in trial.nodes.values()
            )
            return last - started
    return float("inf")
