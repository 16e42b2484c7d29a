import collections

import pytest

from lynxlanding.routing import hash_ring, prefix

KEYS = [prefix.ring_hash(f"key-{number}") for number in range(4000)]


def _find_owners(ring):
    return [next(ring.walk(key, 1)) for key in KEYS]


def _make_ring(names):
    ring = hash_ring.HashRing()
    ring.update(names, [])
    return ring


def test_empty_ring_yields_nothing():
    """Guards against a lookup that fails before any member is known."""
    assert list(hash_ring.HashRing().walk(1, 10)) == []


def test_removal_moves_only_the_keys_of_the_removed_member():
    """Guards against a membership change that makes the caches of all endpoints useless."""
    names = [f"e{number}" for number in range(50)]
    ring = _make_ring(names)
    before = _find_owners(ring)
    ring.update([], ["e7"])
    for old, new in zip(before, _find_owners(ring), strict=True):
        assert old in (new, "e7")
    ring.update(["e7"], [])
    assert _find_owners(ring) == before


@pytest.mark.parametrize("changed", [1, 20])
def test_single_and_bulk_updates_agree(changed):
    """Guards against rings that depend on the order in which the same members were added."""
    names = [f"e{number}" for number in range(50)]
    ring = _make_ring(names[:-changed])
    ring.update(names[-changed:], [])
    assert _find_owners(ring) == _find_owners(_make_ring(names[::-1]))
    ring.update([], names[:changed])
    assert _find_owners(ring) == _find_owners(_make_ring(names[changed:]))


def test_members_own_similar_shares():
    """Guards against too few points, which leave some endpoints without keys."""
    counts = collections.Counter(_find_owners(_make_ring([f"e{number}" for number in range(20)])))
    assert len(counts) == 20
    assert max(counts.values()) < 2 * len(KEYS) / 20
    assert min(counts.values()) > 0.4 * len(KEYS) / 20
