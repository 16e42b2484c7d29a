import collections

import pytest

from lynxlanding.routing import hash_ring, prefix

KEYS = [prefix.ring_hash(f"key-{number}") for number in range(4000)]


def _owners(ring):
    return [next(ring.walk(key, 1)) for key in KEYS]


def _build(names):
    ring = hash_ring.HashRing()
    ring.update(names, [])
    return ring


def test_empty_ring_yields_nothing():
    """Guards against a lookup that fails before any member is known."""
    assert list(hash_ring.HashRing().walk(1, 10)) == []


def test_removal_moves_only_the_keys_of_the_removed_member():
    """Guards against a membership change that empties every endpoint's cache."""
    names = [f"e{number}" for number in range(50)]
    ring = _build(names)
    before = _owners(ring)
    ring.update([], ["e7"])
    for old, new in zip(before, _owners(ring), strict=True):
        assert old in (new, "e7")
    ring.update(["e7"], [])
    assert _owners(ring) == before


@pytest.mark.parametrize("changed", [1, 20])
def test_single_and_bulk_updates_agree(changed):
    """Guards against nodes with different histories of the same members disagreeing."""
    names = [f"e{number}" for number in range(50)]
    ring = _build(names[:-changed])
    ring.update(names[-changed:], [])
    assert _owners(ring) == _owners(_build(names[::-1]))
    ring.update([], names[:changed])
    assert _owners(ring) == _owners(_build(names[changed:]))


def test_members_own_similar_shares():
    """Guards against too few points, which leave some endpoints without keys."""
    counts = collections.Counter(_owners(_build([f"e{number}" for number in range(20)])))
    assert len(counts) == 20
    assert max(counts.values()) < 2 * len(KEYS) / 20
    assert min(counts.values()) > 0.4 * len(KEYS) / 20
