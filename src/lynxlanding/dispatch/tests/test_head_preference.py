"""Choice among many groups.

Pattern: hundreds of nodes and a hundred groups; each node sends a few requests a second, and opens
a connection for almost each of them.
"""

import collections
import random

from lynxlanding.dispatch import head_preference
from lynxlanding.dispatch.tests import dispatch_factories

DATA_CENTRES = ("a", "b", "c", "d", "e")


def make_heads(count):
    heads = []
    for number in range(count):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        heads.append(dispatch_factories.make_head(number, data_centre=data_centre))
    return heads


def make_preference(seed, data_centre="a"):
    return head_preference.HeadPreference(data_centre, random.Random(seed))


def select_ids(seed, heads, data_centre="a"):
    preference = make_preference(seed, data_centre)
    return [record.endpoint_id for record in preference.select(preference.arrange(heads))]


def test_node_compares_the_same_heads_as_long_as_they_live():
    heads = make_heads(100)
    chosen = select_ids(1, heads)
    assert len(set(chosen)) == head_preference.MAX_COMPARED_HEADS
    remaining = [record for record in heads if record.endpoint_id != chosen[3]]
    assert len(set(chosen) & set(select_ids(1, remaining))) == len(chosen) - 1


def test_nodes_together_use_all_heads_evenly():
    heads = make_heads(100)
    uses = collections.Counter()
    for seed in range(200):
        uses.update(select_ids(seed, heads, DATA_CENTRES[seed % len(DATA_CENTRES)]))
    mean = 200 * head_preference.MAX_COMPARED_HEADS / 100
    assert len(uses) == 100
    assert max(uses.values()) <= 2 * mean
    assert min(uses.values()) >= mean / 2


def test_work_stays_in_the_data_centre_as_far_as_it_has_heads():
    preference = make_preference(1)
    first = preference.select(preference.arrange(make_heads(100)))
    remote = [record for record in first if record.data_centre != "a"]
    assert len(remote) == head_preference.MIN_REMOTE_HEADS
    few_local = make_heads(100)[1:5] + make_heads(60)[5:]
    first = preference.select(preference.arrange(few_local))
    assert len(first) == head_preference.MAX_COMPARED_HEADS


def test_few_heads_are_all_compared():
    preference = make_preference(1)
    heads = make_heads(head_preference.MAX_COMPARED_HEADS)
    assert set(map(id, preference.select(preference.arrange(heads)))) == set(map(id, heads))
    assert preference.sample_others(preference.arrange(heads)) == []


def test_other_heads_serve_once_the_preferred_ones_are_full():
    """Guards against refusals while groups that a node does not prefer are idle."""
    dispatcher, _ = dispatch_factories.make_dispatcher(make_heads(100))
    slots = dispatcher.configuration.services["model"].engine.slots
    used = collections.Counter()
    for _ in range(head_preference.MAX_COMPARED_HEADS * slots):
        decision = dispatcher.choose(dispatch_factories.make_query(), 0.0)
        used[decision.record.endpoint_id] += 1
    assert len(used) == head_preference.MAX_COMPARED_HEADS
    assert set(used.values()) == {slots}
    decision = dispatcher.choose(dispatch_factories.make_query(), 0.0)
    assert decision.record.endpoint_id not in used
    assert decision.load == 0
