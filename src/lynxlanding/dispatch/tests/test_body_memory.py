import pytest

from lynxlanding.dispatch import body_memory
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.transport import memory_budget

MAX_BYTES = 1000
PART = 10


def test_endless_bodies_together_are_bounded():
    """Guards against endless bodies that each keep to their limit but fill the memory together."""
    memory = body_memory.BodyMemory(memory_budget.MemoryBudget(MAX_BYTES))
    shares = [memory.begin() for _ in range(20)]
    for _ in range(MAX_BYTES // PART):
        for share in list(shares):
            try:
                share.add(PART)
            except endpoint_errors.ResponseTooLarge:
                share.end()
                shares.remove(share)
            assert memory.held_bytes <= MAX_BYTES + PART
    assert shares, "all bodies were given up"


def test_small_body_beside_an_endless_one_is_read():
    """Guards against a sound answer that is refused because another one takes all memory."""
    memory = body_memory.BodyMemory(memory_budget.MemoryBudget(MAX_BYTES))
    endless = memory.begin()
    for _ in range(MAX_BYTES // PART):
        endless.add(PART)
    small = memory.begin()
    small.add(PART)
    with pytest.raises(endpoint_errors.ResponseTooLarge):
        endless.add(PART)


def test_events_that_were_passed_on_are_not_held():
    """Guards against a long stream that counts as a body in memory."""
    memory = body_memory.BodyMemory(memory_budget.MemoryBudget(MAX_BYTES))
    share = memory.begin()
    for _ in range(10):
        share.add(MAX_BYTES // 2)
        share.release()
    share.add(PART)
    share.end()
    assert memory.held_bytes == 0
