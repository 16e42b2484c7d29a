import collections
import dataclasses

from lynxlanding.replicas import engine_order, placement, regrouping, staging
from lynxlanding.replicas.tests import simulated_domain


def dual_model_engine(number, last_model="small", staged_model="large"):
    """Return an engine that last served one model and has staged another."""
    return simulated_domain.engine_record(f"e{number}", last_model, (staged_model,))


def blank_engine(number):
    """Return an engine that holds no model."""
    return simulated_domain.engine_record(f"e{number}")


def test_large_groups_form_first_when_engines_register_one_by_one():
    """Guards against groups of two that use up the engines for a group of four."""
    fleet_state = simulated_domain.make_fleet_state(is_before_traffic=True)
    spec = simulated_domain.make_engine_spec()
    assert (
        placement.choose_groups(
            spec, [blank_engine(0), blank_engine(1), blank_engine(2)], {}, fleet_state
        )
        == []
    )
    chosen = placement.choose_groups(spec, [blank_engine(i) for i in range(4)], {}, fleet_state)
    assert [model for model, _ in chosen] == ["large"]


def test_every_engine_joins_a_group_before_traffic():
    """Guards against spares that have never held a model in memory."""
    fleet_state = simulated_domain.make_fleet_state(is_before_traffic=True)
    chosen = placement.choose_groups(
        simulated_domain.make_engine_spec(), [blank_engine(i) for i in range(10)], {}, fleet_state
    )
    assert [model for model, _ in chosen] == ["large", "small", "small", "small"]


def test_surplus_groups_become_spares_before_traffic():
    """Guards against a domain without spares when traffic starts."""
    fleet_state = simulated_domain.make_fleet_state(is_before_traffic=True)
    groups = [(0, "large", []), (1, "small", []), (2, "small", []), (3, "small", [])]
    surplus = placement.choose_group_for_spares(
        simulated_domain.make_engine_spec(), [], {"large": 1, "small": 3}, fleet_state, groups
    )
    assert surplus == 1


def test_remaining_engines_and_a_spare_form_a_group_of_the_scarce_model():
    """Guards against lost capacity when engines fail one after the other."""
    free = [
        dual_model_engine(0, "large", "small"),
        dual_model_engine(1, "large", "small"),
        dual_model_engine(2, "large", "small"),
        dual_model_engine(3),
    ]
    fleet_state = simulated_domain.make_fleet_state(
        large=5, small=9, groups_elsewhere={"large": 4, "small": 9}, domain_share=1 / 6
    )
    chosen = placement.choose_groups(
        simulated_domain.make_engine_spec(), free, {"small": 2}, fleet_state
    )
    assert chosen == [("large", ("e0", "e1", "e2", "e3"))]


def test_no_group_waits_for_a_load_under_traffic():
    """Guards against groups that wait for new engines without a model in a rolling replacement."""
    free = [dual_model_engine(0), dual_model_engine(1), dual_model_engine(2), blank_engine(3)]
    fleet_state = simulated_domain.make_fleet_state(
        large=5, small=1, groups_elsewhere={"large": 1, "small": 5}, domain_share=1 / 6
    )
    assert placement.choose_groups(simulated_domain.make_engine_spec(), free, {}, fleet_state) == []


def test_freed_engines_wait_for_the_scarcer_model():
    """Guards against engines of two retired groups that form groups of the same model again."""
    free = [dual_model_engine(0), dual_model_engine(1)]
    fleet_state = simulated_domain.make_fleet_state(
        large=5, small=9, groups_elsewhere={"large": 3, "small": 10}, domain_share=1 / 6
    )
    assert (
        placement.choose_groups(
            simulated_domain.make_engine_spec(), free, {"small": 1}, fleet_state
        )
        == []
    )


def test_retires_only_as_many_groups_as_complete_the_scarce_one():
    """Guards against retiring too many groups when the model of a failed domain is formed here."""
    fleet_state = simulated_domain.make_fleet_state(
        large=5, small=9, groups_elsewhere={"large": 3, "small": 12}, domain_share=1 / 6
    )
    pairs = [
        (index, "small", [dual_model_engine(2 * index), dual_model_engine(2 * index + 1)])
        for index in range(3)
    ]
    change = regrouping.choose(
        simulated_domain.make_engine_spec(),
        [dual_model_engine(8), dual_model_engine(9)],
        {"small": 3},
        fleet_state,
        pairs,
    )
    assert change.retired == (0,)
    assert change.formed == (("large", ("e0", "e1", "e8", "e9")),)


def test_retires_no_group_that_does_not_complete_the_scarce_one():
    """Guards against groups that retire and form again without any benefit."""
    fleet_state = simulated_domain.make_fleet_state(
        large=5, small=9, groups_elsewhere={"large": 3, "small": 12}, domain_share=1 / 6
    )
    pairs = [(0, "small", [dual_model_engine(0), blank_engine(1)])]
    change = regrouping.choose(
        simulated_domain.make_engine_spec(),
        [dual_model_engine(8)],
        {"small": 1},
        fleet_state,
        pairs,
    )
    assert change == regrouping.Regrouping()


def test_stages_the_model_that_an_engine_does_not_hold():
    """Guards against spares that can serve only one model."""
    spec = simulated_domain.make_engine_spec()
    fleet_state = simulated_domain.make_fleet_state()
    records = [
        simulated_domain.engine_record("e0", "small", ("small",)),
        simulated_domain.engine_record("e1", "small", ("large",)),
        simulated_domain.engine_record("e2", "large", ()),
    ]
    orders = staging.additional_model_orders(spec, records, {}, fleet_state)
    assert [(item.kind, item.endpoint_id, item.model) for item in orders] == [
        (engine_order.STAGE, "e0", "large"),
        (engine_order.STAGE, "e2", "small"),
    ]


def test_does_not_stage_before_the_first_group_of_an_engine():
    """Guards against a staged model that is replaced by the load for the first group."""
    fleet_state = simulated_domain.make_fleet_state(is_before_traffic=True)
    assert (
        staging.additional_model_orders(
            simulated_domain.make_engine_spec(), [blank_engine(0)], {}, fleet_state
        )
        == []
    )


def test_spares_form_no_groups_before_traffic():
    """Guards against groups that repeatedly retire and form again until traffic starts."""
    fleet_state = simulated_domain.make_fleet_state(is_before_traffic=True)
    spec = simulated_domain.make_engine_spec()
    planned = {"large": 1, "small": 2}
    assert (
        placement.choose_groups(
            spec, [dual_model_engine(0), dual_model_engine(1)], planned, fleet_state
        )
        == []
    )
    groups = [(0, "large", []), (1, "small", []), (2, "small", [])]
    spares = [dual_model_engine(0), dual_model_engine(1)]
    assert placement.choose_group_for_spares(spec, spares, planned, fleet_state, groups) is None


def test_a_group_of_a_better_covered_model_is_retired_to_complete_a_scarce_one():
    """Guards against a model that stays scarce when successive engines fail without spares."""
    free = [dual_model_engine(i, "large", "small") for i in range(3)]
    pairs = [
        (0, "small", [dual_model_engine(4), dual_model_engine(5)]),
        (1, "small", [dual_model_engine(6), dual_model_engine(7)]),
    ]
    spec = simulated_domain.make_engine_spec()
    fleet_state = simulated_domain.make_fleet_state(
        large=6, small=11, groups_elsewhere={"large": 4, "small": 7}, domain_share=1 / 6
    )
    assert regrouping.choose(spec, free, {"small": 2}, fleet_state, pairs).retired == (0,)
    lower_coverage = simulated_domain.make_fleet_state(
        large=6, small=11, groups_elsewhere={"large": 4, "small": 5}, domain_share=1 / 6
    )
    assert regrouping.choose(spec, free, {"small": 2}, lower_coverage, pairs).retired == ()


def test_a_retired_group_is_formed_again_from_what_the_scarce_model_leaves():
    """Pattern: a member of the large group is lost, and its spare went to an earlier loss.

    Three remaining members, a spare of the small model and a small group suffice for both.
    """
    spec = simulated_domain.make_engine_spec()
    spec.models["small"] = dataclasses.replace(spec.models["small"], engines_per_group=3)
    free = [dual_model_engine(i, "large", "small") for i in range(3)]
    free.append(simulated_domain.engine_record("e3", None, ("small",)))
    members = [dual_model_engine(i) for i in (4, 5, 6)]
    fleet_state = simulated_domain.make_fleet_state(
        large=5, small=5, groups_elsewhere={"large": 4, "small": 4}, domain_share=1 / 6
    )
    change = regrouping.choose(spec, free, {"small": 1}, fleet_state, [(0, "small", members)])
    assert change.retired == (0,)
    assert change.formed == (
        ("large", ("e0", "e1", "e2", "e4")),
        ("small", ("e5", "e6", "e3")),
    )


def first_models(free, fleet_state, planned=None):
    spec = simulated_domain.make_engine_spec()
    orders = staging.first_model_orders(spec, free, planned or {}, fleet_state)
    return {item.endpoint_id: item.model for item in orders}


def test_first_models_complete_whole_groups():
    """Guards against engines that cannot form a group of their model.

    Engines are added two at a time, and two alone cannot form a group of four.
    """
    fleet_state = simulated_domain.make_fleet_state(
        large=6, small=11, groups_elsewhere={"large": 1, "small": 11}, domain_share=1 / 6
    )
    assert first_models([blank_engine(0), blank_engine(1)], fleet_state) == {
        "e0": "small",
        "e1": "small",
    }
    with_spares = [dual_model_engine(2), dual_model_engine(3), blank_engine(0), blank_engine(1)]
    assert first_models(with_spares, fleet_state) == {"e0": "large", "e1": "large"}


def test_a_load_in_progress_counts_for_the_group_and_is_not_ordered_again():
    fleet_state = simulated_domain.make_fleet_state(
        large=6, small=11, groups_elsewhere={"large": 1, "small": 11}, domain_share=1 / 6
    )
    fleet_state.loads_in_progress.update({"e0": "large", "e1": "large", "e2": "large"})
    free = [blank_engine(0), blank_engine(1), blank_engine(2), blank_engine(3)]
    assert first_models(free, fleet_state) == {"e3": "large"}


def test_a_single_engine_loads_the_scarcer_model():
    fleet_state = simulated_domain.make_fleet_state(
        large=6, small=11, groups_elsewhere={"large": 1, "small": 11}, domain_share=1 / 6
    )
    assert first_models([blank_engine(0)], fleet_state) == {"e0": "large"}


def test_no_first_model_is_staged_before_the_domain_has_groups():
    """Guards against a staged model that the load of the first group replaces at once."""
    fleet_state = simulated_domain.make_fleet_state(is_before_traffic=True)
    assert first_models([blank_engine(0)], fleet_state) == {}


def test_engines_that_complete_no_group_become_spares_before_traffic():
    """Pattern: domains whose size leaves engines over, and losses from the first second.

    Engines without a model at the first request compete for the weight store with every loss.
    """
    fleet_state = simulated_domain.make_fleet_state(is_before_traffic=True)
    planned = {"large": 1, "small": 2}
    assert first_models([blank_engine(0)], fleet_state, planned) == {"e0": "large"}
    assert first_models([blank_engine(0), blank_engine(1)], fleet_state, planned) == {
        "e0": "small",
        "e1": "small",
    }


def test_engines_that_hold_only_one_model_become_members_first():
    """Pattern: a small group formed from the engines that a large one is waiting for."""
    spec = simulated_domain.make_engine_spec()
    free = [
        simulated_domain.engine_record("e0", "large", ("small",)),
        simulated_domain.engine_record("e1", "large", ("small",)),
        simulated_domain.engine_record("e2", None, ("small",)),
        simulated_domain.engine_record("e3", None, ("small",)),
    ]
    fleet_state = simulated_domain.make_fleet_state(large=0.1, small=1)
    assert placement.choose_groups(spec, free, {"large": 1}, fleet_state)[0] == (
        "small",
        ("e2", "e3"),
    )


def test_spares_are_spread_while_the_first_one_still_loads():
    """Pattern: engines that register one after the other before the first request."""
    spec = simulated_domain.make_engine_spec()
    spec.models["small"] = dataclasses.replace(spec.models["small"], engines_per_group=3)
    fleet_state = simulated_domain.make_fleet_state(is_before_traffic=True)
    fleet_state.loads_in_progress["e1"] = "large"
    free = [blank_engine(0), blank_engine(1)]
    orders = staging.first_model_orders(spec, free, {"large": 1, "small": 1}, fleet_state)
    assert {order.endpoint_id: order.model for order in orders} == {"e0": "small"}


def test_spares_are_spread_over_the_models_of_the_groups():
    """Pattern: single losses in groups of both models."""
    free = [blank_engine(0), blank_engine(1)]
    fleet_state = simulated_domain.make_fleet_state(is_before_traffic=True)
    spec = simulated_domain.make_engine_spec()
    spec.models["small"] = dataclasses.replace(spec.models["small"], engines_per_group=3)
    orders = staging.first_model_orders(spec, free, {"large": 1, "small": 1}, fleet_state)
    assert {order.endpoint_id: order.model for order in orders} == {"e0": "large", "e1": "small"}


def test_free_engines_wait_for_engines_of_a_retiring_group():
    """Guards against free engines that form another group of the model of a retired group.

    When engines fail one after the other, a group is retired to complete one of a scarcer model.
    Its engines become free two seconds later; the engines that wait for them must stay free.
    """
    fleet_state = simulated_domain.make_fleet_state(
        large=6, small=11, groups_elsewhere={"large": 3, "small": 8}, domain_share=1 / 6
    )
    free = [dual_model_engine(0), dual_model_engine(1)]
    spec = simulated_domain.make_engine_spec()
    soon_free = [dual_model_engine(2), dual_model_engine(3)]
    assert placement.choose_groups(spec, free, {"small": 1}, fleet_state, soon_free) == []
    chosen = placement.choose_groups(spec, free + soon_free, {"small": 1}, fleet_state)
    assert chosen[0] == ("large", ("e0", "e1", "e2", "e3"))
    without_soon_free = placement.choose_groups(spec, free, {"small": 1}, fleet_state)
    assert [model for model, _ in without_soon_free] == ["small"]


def test_engines_beyond_a_whole_group_start_another_one():
    """Guards against counting the same partners for two groups."""
    fleet_state = simulated_domain.make_fleet_state(
        large=6, small=11, groups_elsewhere={"large": 1, "small": 5}, domain_share=1 / 6
    )
    free = [
        dual_model_engine(4),
        dual_model_engine(5),
        *[blank_engine(number) for number in range(4)],
    ]
    models = collections.Counter(first_models(free, fleet_state).values())
    assert models == {"large": 2, "small": 2}


def test_a_broken_large_group_is_completed_before_a_covered_model_gets_more():
    """Pattern: a member of a large group is lost while the needs of a small model rise.

    The remaining members formed a small group, which left the spare of the large one unused.
    """
    free = [dual_model_engine(i, "large", "small") for i in range(3)]
    free.append(simulated_domain.engine_record("e3", None, ("large",)))
    fleet_state = simulated_domain.make_fleet_state(
        large=4.6, small=6.1, groups_elsewhere={"large": 5, "small": 5}, domain_share=1 / 6
    )
    chosen = placement.choose_groups(
        simulated_domain.make_engine_spec(), free, {"small": 1}, fleet_state
    )
    assert chosen[0][0] == "large"
