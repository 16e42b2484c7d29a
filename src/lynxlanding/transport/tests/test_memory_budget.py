import random

from lynxlanding.transport import memory_budget

MAX_BYTES = 1 << 20


def fill(budget, count, size):
    """Return shares of equal size, in the order in which they have grown."""
    shares = [budget.begin() for _ in range(count)]
    for share in shares:
        assert not share.resize(0, size)
    return shares


def test_largest_share_loses():
    """Guards against a few large bodies that push out many small ones."""
    budget = memory_budget.MemoryBudget(MAX_BYTES)
    small = fill(budget, 100, 4096)
    large = budget.begin()
    assert not large.resize(0, MAX_BYTES // 2)
    late = budget.begin()
    assert late.resize(0, MAX_BYTES // 4) == [large]
    assert not any(share.is_lost for share in [*small, late])
    assert budget.held_bytes <= MAX_BYTES


def test_stalled_share_loses_before_one_that_grows():
    """Guards against clients that stall short of the end and keep others' bodies out."""
    budget = memory_budget.MemoryBudget(MAX_BYTES)
    stalled = fill(budget, 8, MAX_BYTES // 8)
    growing = budget.begin()
    for size in range(0, MAX_BYTES // 8, 8192):
        for loser in growing.resize(0, size):
            assert loser in stalled
    assert not growing.is_lost


def test_bytes_of_requests_that_run_are_not_given_up():
    """Guards against a refusal of a request that has run."""
    budget = memory_budget.MemoryBudget(MAX_BYTES)
    running = budget.begin()
    assert not running.resize(MAX_BYTES, 0)
    arriving = budget.begin()
    assert arriving.resize(0, 65536) == [arriving]
    assert not running.is_lost
    assert budget.held_bytes == MAX_BYTES


def test_small_shares_never_lose():
    """Guards against refusals of ordinary requests while large ones hold all memory."""
    budget = memory_budget.MemoryBudget(32 << 20)
    assert not budget.begin().resize(32 << 20, 0)
    assert not any(budget.begin().resize(0, 8192) for _ in range(1000))


def test_sums_agree_after_many_changes():
    """Guards against bytes that stay counted after their share has ended."""
    random_state = random.Random(7)
    budget = memory_budget.MemoryBudget(MAX_BYTES)
    notified = []
    shares = [budget.begin(lambda: notified.append(1)) for _ in range(50)]
    losers_total = 0
    for _ in range(5000):
        share = random_state.choice(shares)
        losers = share.resize(0, random_state.randrange(65536))
        losers_total += len(losers)
        memory_budget.notify(losers)
        assert budget.held_bytes == sum(item.loose_bytes for item in shares)
        assert budget.held_bytes <= MAX_BYTES
    assert len(notified) == losers_total == budget.lost_total > 0
    for share in shares:
        share.resize(0, 0)
    assert budget.held_bytes == 0
