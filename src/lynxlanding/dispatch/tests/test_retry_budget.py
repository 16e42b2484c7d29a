import random

from lynxlanding.dispatch import retry_budget

RATIO = 0.2
SLACK = 109.0
WINDOW_S = 10.0
NODES = 9


def largest_excess(seed):
    """Return the largest excess of retries over the fleet-wide limit in any window."""
    random_state = random.Random(seed)
    budgets = []
    for _ in range(NODES):
        budgets.append(retry_budget.RetryBudget(RATIO, SLACK, WINDOW_S))
    weights = [random_state.random() + 0.05 for _ in range(NODES)]
    requests = []
    retries = []
    now = 0.0
    while now < 40.0:
        now += random_state.expovariate(100.0)
        node = random_state.choices(range(NODES), weights)[0]
        budgets[node].record_request(now)
        requests.append(now)
        # Retry storms in which every request would be retried several times.
        for _ in range(3 if int(now) % 7 < 3 else 0):
            if budgets[node].try_acquire(now, NODES):
                retries.append(now)
    largest = -SLACK
    for end in retries:
        retried = sum(end - WINDOW_S < at <= end for at in retries)
        requested = sum(end - WINDOW_S < at <= end for at in requests)
        largest = max(largest, retried - RATIO * requested - SLACK)
    return largest


def test_no_window_of_the_fleet_exceeds_the_limit():
    """Guards against retry storms, although nodes do not know each other's counts."""
    for seed in range(12):
        assert largest_excess(seed) <= 0, f"seed {seed}"


def test_one_node_stays_within_its_part_in_every_window():
    """Checks 1,000 seeded bursts."""
    for seed in range(1000):
        random_state = random.Random(seed)
        budget = retry_budget.RetryBudget(RATIO, SLACK, WINDOW_S)
        now = 0.0
        requests = []
        retries = []
        for _ in range(60):
            now += random_state.expovariate(8.0)
            budget.record_request(now)
            requests.append(now)
            for _ in range(random_state.randrange(4)):
                if budget.try_acquire(now, NODES):
                    retries.append(now)
        for end in retries:
            requested = sum(end - WINDOW_S < at <= end for at in requests)
            retried = sum(end - WINDOW_S < at <= end for at in retries)
            assert retried <= RATIO * requested + SLACK / NODES, f"seed {seed}"


def test_first_request_can_be_retried():
    budget = retry_budget.RetryBudget(RATIO, SLACK, WINDOW_S)
    budget.record_request(0.0)
    assert budget.try_acquire(0.0, NODES)
