from lynxlanding.crashes import request_digest, suspicion

SHARED, COMMON, BAD, SOUND = 1, 2, 3, 4
DEADLY, OTHER_DEADLY, REPEATED = (request_digest.from_digest(number) for number in (1, 2, 3))


def make_ends(*parts_of_ends, duration_s=0.2, gap_s=1.0):
    """Return ends in sequence, by part; each argument has the parts of one end."""
    ends_by_part = {}
    for number, parts in enumerate(parts_of_ends):
        ended_at = 10.0 + number * gap_s
        for part in parts:
            ends_by_part.setdefault(part, {})[number] = (ended_at - duration_s, ended_at)
    return ends_by_part


def find(ends_by_part, harmless=()):
    return set(suspicion.find_suspects(ends_by_part, set(harmless), suspicion.ENDS_TO_NAME))


def test_endpoints_that_end_together_count_as_one():
    """Guards against naming a part because a data centre has lost power."""
    together = [(9.0, 10.0), (9.5, 10.01), (9.9, 10.3), (9.99, 10.5)]
    assert suspicion.count_sequence(together) == 1
    assert suspicion.count_sequence([*together, (10.6, 10.7)]) == 2


def test_part_that_is_in_all_ends_is_named():
    ends = make_ends({SHARED, BAD}, {COMMON, BAD}, {SOUND, BAD})
    assert find(ends) == {frozenset({BAD})}


def test_parts_that_always_came_together_are_suspect_only_together():
    """Guards against refusing sound requests that share the caller's other parts."""
    ends = make_ends(*[{SHARED, COMMON, BAD}] * 3)
    assert find(ends) == {frozenset({SHARED, COMMON, BAD})}


def test_part_without_harmless_answers_is_suspect_before_those_with_them():
    """Guards against bad requests that pass because they lack a part of earlier ones."""
    ends = make_ends(*[{SHARED, COMMON, BAD}] * 3)
    assert find(ends, harmless={SHARED, COMMON}) == {frozenset({BAD})}


def test_harmless_part_can_be_named_as_well():
    """Guards against a part that has become bad, such as after an update of the engines."""
    ends = make_ends(*[{SHARED}] * suspicion.ENDS_TO_NAME_HARMLESS)
    assert find(ends, harmless={SHARED}) == {frozenset({SHARED})}


def test_end_under_one_of_them_alone_tells_which_it_is():
    ends = make_ends(*[{SHARED, BAD}] * 3, *[{BAD}] * 3)
    assert frozenset({BAD}) in find(ends)


def test_part_that_only_shared_the_ends_of_others_is_not_suspect_alone():
    """Guards against naming sound requests for the engine on which they ran."""
    ends = make_ends({SOUND, BAD}, {SOUND, BAD}, {SOUND, BAD}, {BAD}, {BAD}, {BAD})
    assert find(ends) == {frozenset({BAD}), frozenset({BAD, SOUND})}


def test_two_ends_name_nothing():
    assert find(make_ends({BAD}, {BAD})) == set()


def test_last_end_is_that_of_the_named_part():
    ends = make_ends(*[{BAD}] * 3, {SOUND})
    assert suspicion.find_suspects(ends, (), 3) == {frozenset({BAD}): 12.0}


def test_part_that_ran_beside_the_bad_one_is_not_suspect_alone_if_some_reports_are_missing():
    """Guards against naming a sound part because the bad request's report was lost."""
    ends = make_ends({SOUND, BAD}, {SOUND, BAD}, {SOUND}, {SOUND, BAD})
    assert frozenset({SOUND}) not in find(ends)


def test_part_that_two_bad_ones_share_is_not_named():
    """Guards against refusing a caller's sound requests when two parts are bad at once."""
    other_bad = 9
    ends = make_ends(*[{SHARED, BAD}, {SHARED, other_bad}] * 4)
    assert find(ends, harmless={SHARED}) == {frozenset({BAD}), frozenset({other_bad})}


def test_request_that_comes_again_is_named_and_not_its_parts():
    """Guards against refusing sound requests for the parts that they share with a deadly one."""
    ends = make_ends(*[{DEADLY, SHARED, COMMON}] * 3)
    assert find(ends) == {frozenset({DEADLY})}
    assert find(ends, harmless={SHARED}) == {frozenset({DEADLY})}


def test_part_of_different_requests_is_named():
    """Guards against a bad part that goes unnamed because each request comes twice."""
    requests = [request_digest.from_digest(number) for number in range(10, 13)]
    ends = make_ends(*[{request, BAD} for request in requests for _ in range(2)])
    assert find(ends) == {frozenset({BAD})}


def test_harmless_part_of_several_deadly_requests_is_not_named():
    """Guards against refusing sound requests when several deadly ones share a part with them."""
    ends = make_ends(*[{DEADLY, SHARED}, {OTHER_DEADLY, SHARED}] * 3)
    named = {frozenset({DEADLY}), frozenset({OTHER_DEADLY})}
    assert find(ends, harmless={SHARED}) == named


def test_sound_request_that_comes_again_is_not_named_beside_a_deadly_one():
    """Guards against refusing a repeated look-up that shared endpoints with a deadly request."""
    ends = make_ends(*[{DEADLY, REPEATED}] * suspicion.ENDS_TO_NAME_HARMLESS)
    assert find(ends, harmless={REPEATED}) == {frozenset({DEADLY})}
    ends = make_ends(*[{BAD, REPEATED}] * suspicion.ENDS_TO_NAME_HARMLESS)
    assert find(ends, harmless={REPEATED}) == {frozenset({BAD})}


def test_new_request_that_only_shared_the_ends_of_deadly_ones_is_not_named():
    """Guards against refusing a repeated look-up whose answers stay away while groups form anew."""
    ends = make_ends(
        {DEADLY},
        {DEADLY, REPEATED},
        {DEADLY},
        {DEADLY, REPEATED},
        {OTHER_DEADLY, REPEATED},
        {OTHER_DEADLY, REPEATED},
        {OTHER_DEADLY},
    )
    assert find(ends) == {frozenset({DEADLY}), frozenset({OTHER_DEADLY})}
