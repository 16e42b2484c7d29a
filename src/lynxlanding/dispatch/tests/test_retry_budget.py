import random

from lynxlanding.dispatch import retry_budget

RATIO = 0.2
SLACK = 109.0
WINDOW_S = 10.0
NODES = 9


def largest_excess(seed):
    """Return by how much any window of a random day exceeds the limit of the fleet."""
    random_state = random.Random(seed)
    allowances = []
    for _ in range(NODES):
        allowances.append(retry_budget.RetryAllowance(RATIO, SLACK, WINDOW_S))
    weights = [random_state.random() + 0.05 for _ in range(NODES)]
    requests = []
    repeats = []
    now = 0.0
    while now < 40.0:
        now += random_state.expovariate(100.0)
        node = random_state.choices(range(NODES), weights)[0]
        allowances[node].note_request(now)
        requests.append(now)
        # Storms in which every request would be repeated several times.
        for _ in range(3 if int(now) % 7 < 3 else 0):
            if allowances[node].take(now, NODES):
                repeats.append(now)
    worst = -SLACK
    for end in repeats:
        in_window = sum(end - WINDOW_S < at <= end for at in repeats)
        asked = sum(end - WINDOW_S < at <= end for at in requests)
        worst = max(worst, in_window - RATIO * asked - SLACK)
    return worst


def test_no_window_of_the_fleet_exceeds_the_limit():
    """Guards against retry storms; the nodes do not see each other's counts."""
    for seed in range(12):
        assert largest_excess(seed) <= 0, f"seed {seed}"


def test_a_node_alone_keeps_to_its_part_in_every_window():
    """1,000 seeded bursts of one node."""
    for seed in range(1000):
        random_state = random.Random(seed)
        allowance = retry_budget.RetryAllowance(RATIO, SLACK, WINDOW_S)
        now = 0.0
        requests = []
        repeats = []
        for _ in range(60):
            now += random_state.expovariate(8.0)
            allowance.note_request(now)
            requests.append(now)
            for _ in range(random_state.randrange(4)):
                if allowance.take(now, NODES):
                    repeats.append(now)
        for end in repeats:
            asked = sum(end - WINDOW_S < at <= end for at in requests)
            taken = sum(end - WINDOW_S < at <= end for at in repeats)
            assert taken <= RATIO * asked + SLACK / NODES, f"seed {seed}"


def test_repeats_are_possible_for_the_first_requests():
    allowance = retry_budget.RetryAllowance(RATIO, SLACK, WINDOW_S)
    allowance.note_request(0.0)
    assert allowance.take(0.0, NODES)
