import collections

from lynxlanding.replicas import engine_order, placement, staging
from lynxlanding.replicas.tests import plan_world


def dual(number, last="small", staged="large"):
    return plan_world.record(f"e{number}", last, (staged,))


def fresh(number):
    return plan_world.record(f"e{number}")


def test_starts_with_the_large_model_when_engines_register_one_by_one():
    """Guards against pairs that take the engines of a group of four."""
    needs = plan_world.counts(before_traffic=True)
    spec = plan_world.engine_spec()
    assert placement.choose_groups(spec, [fresh(0), fresh(1), fresh(2)], {}, needs) == []
    chosen = placement.choose_groups(spec, [fresh(i) for i in range(4)], {}, needs)
    assert [model for model, _ in chosen] == ["large"]


def test_every_engine_joins_a_group_before_traffic():
    """Guards against spares that have never held a model in memory."""
    needs = plan_world.counts(before_traffic=True)
    chosen = placement.choose_groups(
        plan_world.engine_spec(), [fresh(i) for i in range(10)], {}, needs
    )
    assert [model for model, _ in chosen] == ["large", "small", "small", "small"]


def test_surplus_groups_become_spares_before_traffic():
    """Guards against a domain without spares when traffic starts."""
    needs = plan_world.counts(before_traffic=True)
    groups = [(0, "large", []), (1, "small", []), (2, "small", []), (3, "small", [])]
    surplus = placement.choose_surplus(
        plan_world.engine_spec(), [], {"large": 1, "small": 3}, needs, groups
    )
    assert surplus == [1]


def test_rolling_losses_reform_the_scarce_model_from_survivors_and_a_spare():
    """Pattern: engines lost one after the other."""
    free = [
        dual(0, "large", "small"),
        dual(1, "large", "small"),
        dual(2, "large", "small"),
        dual(3),
    ]
    needs = plan_world.counts(large=5, small=9, elsewhere={"large": 4, "small": 9}, part=1 / 6)
    chosen = placement.choose_groups(plan_world.engine_spec(), free, {"small": 2}, needs)
    assert chosen == [("large", ("e0", "e1", "e2", "e3"))]


def test_no_group_waits_for_a_load_under_traffic():
    """Pattern: rolling replacement, where new engines hold no model yet."""
    free = [dual(0), dual(1), dual(2), fresh(3)]
    needs = plan_world.counts(large=5, small=1, elsewhere={"large": 1, "small": 5}, part=1 / 6)
    assert placement.choose_groups(plan_world.engine_spec(), free, {}, needs) == []


def test_freed_engines_wait_for_the_scarcer_model():
    """Guards against engines of two given-up pairs that form pairs again one after the other."""
    free = [dual(0), dual(1)]
    needs = plan_world.counts(large=5, small=9, elsewhere={"large": 3, "small": 10}, part=1 / 6)
    assert placement.choose_groups(plan_world.engine_spec(), free, {"small": 1}, needs) == []


def test_gives_up_only_as_many_groups_as_complete_the_scarce_one():
    """Pattern: a domain lost under load, whose model returns elsewhere."""
    needs = plan_world.counts(large=5, small=9, elsewhere={"large": 3, "small": 12}, part=1 / 6)
    pairs = [(index, "small", [dual(2 * index), dual(2 * index + 1)]) for index in range(3)]
    surplus = placement.choose_surplus(
        plan_world.engine_spec(), [dual(8), dual(9)], {"small": 3}, needs, pairs
    )
    assert surplus == [0]


def test_gives_up_nothing_that_does_not_complete_the_scarce_group():
    """Guards against groups that retire and form again without any gain."""
    needs = plan_world.counts(large=5, small=9, elsewhere={"large": 3, "small": 12}, part=1 / 6)
    pairs = [(0, "small", [dual(0), fresh(1)])]
    surplus = placement.choose_surplus(
        plan_world.engine_spec(), [dual(8)], {"small": 1}, needs, pairs
    )
    assert surplus == []


def test_stages_the_model_that_an_engine_does_not_hold():
    """Guards against spares that can serve one model only."""
    spec = plan_world.engine_spec()
    needs = plan_world.counts()
    records = [
        plan_world.record("e0", "small", ("small",)),
        plan_world.record("e1", "small", ("large",)),
        plan_world.record("e2", "large", ()),
    ]
    orders = staging.orders(spec, records, {}, needs)
    assert [(item.kind, item.endpoint_id, item.model) for item in orders] == [
        (engine_order.STAGE, "e0", "large"),
        (engine_order.STAGE, "e2", "small"),
    ]


def test_does_not_stage_before_the_first_group_of_an_engine():
    """Guards against a staged model that the load of the first group replaces."""
    needs = plan_world.counts(before_traffic=True)
    assert staging.orders(plan_world.engine_spec(), [fresh(0)], {}, needs) == []


def test_spares_stay_spares_before_traffic():
    """Guards against surplus groups that retire and form again until traffic starts."""
    needs = plan_world.counts(before_traffic=True)
    spec = plan_world.engine_spec()
    planned = {"large": 1, "small": 2}
    assert placement.choose_groups(spec, [dual(0), dual(1)], planned, needs) == []
    groups = [(0, "large", []), (1, "small", []), (2, "small", [])]
    assert placement.choose_surplus(spec, [dual(0), dual(1)], planned, needs, groups) == []


def test_three_survivors_are_completed_by_a_pair_of_the_better_covered_model():
    """Pattern: engines lost one after the other, without a spare in the domain."""
    survivors = [dual(i, "large", "small") for i in range(3)]
    pairs = [(0, "small", [dual(4), dual(5)]), (1, "small", [dual(6), dual(7)])]
    spec = plan_world.engine_spec()
    needs = plan_world.counts(large=6, small=11, elsewhere={"large": 4, "small": 7}, part=1 / 6)
    assert placement.choose_surplus(spec, survivors, {"small": 2}, needs, pairs) == [0]
    worse = plan_world.counts(large=6, small=11, elsewhere={"large": 4, "small": 5}, part=1 / 6)
    assert placement.choose_surplus(spec, survivors, {"small": 2}, worse, pairs) == []


def first_models(free, needs, planned=None):
    spec = plan_world.engine_spec()
    orders = staging.first_orders(spec, free, planned or {}, needs)
    return {item.endpoint_id: item.model for item in orders}


def test_engines_without_a_model_are_filled_up_to_whole_groups():
    """Pattern: engines added two at a time. Two alone cannot become a group of four."""
    needs = plan_world.counts(large=6, small=11, elsewhere={"large": 1, "small": 11}, part=1 / 6)
    assert first_models([fresh(0), fresh(1)], needs) == {"e0": "small", "e1": "small"}
    with_spares = [dual(2), dual(3), fresh(0), fresh(1)]
    assert first_models(with_spares, needs) == {"e0": "large", "e1": "large"}


def test_a_load_under_way_counts_for_the_group_and_is_not_ordered_again():
    needs = plan_world.counts(large=6, small=11, elsewhere={"large": 1, "small": 11}, part=1 / 6)
    needs.loading.update({"e0": "large", "e1": "large", "e2": "large"})
    free = [fresh(0), fresh(1), fresh(2), fresh(3)]
    assert first_models(free, needs) == {"e3": "large"}


def test_a_single_engine_loads_the_scarcer_model():
    needs = plan_world.counts(large=6, small=11, elsewhere={"large": 1, "small": 11}, part=1 / 6)
    assert first_models([fresh(0)], needs) == {"e0": "large"}


def test_engines_without_a_model_join_a_group_first_before_traffic():
    assert first_models([fresh(0)], plan_world.counts(before_traffic=True)) == {}


def test_free_engines_wait_for_those_that_are_about_to_join_them():
    """Pattern: engines lost one after the other. A group is given up to complete a scarcer one.

    Its engines leave two seconds later; what waits for them must not become another group of the
    model that was given up.
    """
    needs = plan_world.counts(large=6, small=11, elsewhere={"large": 3, "small": 8}, part=1 / 6)
    survivors = [dual(0), dual(1)]
    spec = plan_world.engine_spec()
    coming = [dual(2), dual(3)]
    assert placement.choose_groups(spec, survivors, {"small": 1}, needs, coming) == []
    chosen = placement.choose_groups(spec, survivors + coming, {"small": 1}, needs)
    assert chosen[0] == ("large", ("e0", "e1", "e2", "e3"))
    without = placement.choose_groups(spec, survivors, {"small": 1}, needs)
    assert [model for model, _ in without] == ["small"]


def test_a_second_group_is_filled_up_anew():
    """Guards against engines that wait for the same partners as those before them."""
    needs = plan_world.counts(large=6, small=11, elsewhere={"large": 1, "small": 5}, part=1 / 6)
    free = [dual(4), dual(5), *[fresh(number) for number in range(4)]]
    models = collections.Counter(first_models(free, needs).values())
    assert models == {"large": 2, "small": 2}
