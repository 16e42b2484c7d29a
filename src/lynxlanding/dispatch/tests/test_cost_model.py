"""Timeouts derived from published times, when a group prefills many prompts at once.

This happens when a group is lost and all of its streams resume on another one.
"""

import pytest

from lynxlanding.dispatch import cost_model, dispatch_decision, stall_tracker
from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.replicas.tests import simulated_domain

# Streams of a lost group must resume elsewhere this soon, or callers give up.
MAX_DETECTION_S = 0.5


def pass_time(engine, model, prompts):
    """Return the duration of a full group's pass that prefills prompts between decode steps."""
    remaining = sum(prompts)
    total_s = 0.0
    for _ in range(engine.steps_per_pass):
        prefilled = min(remaining, engine.chunk_tokens)
        remaining -= prefilled
        total_s += cost_model.step_time(engine, model, engine.slots)
        total_s += prefilled / engine.prefill_tokens_per_s * model.time_factor
    return total_s


@pytest.mark.parametrize("resumed", range(1, 19))
@pytest.mark.parametrize("tokens", [674, 1420, 1960, 4030])
@pytest.mark.parametrize("name", ["large", "small"])
def test_group_that_prefills_resumed_streams_is_not_stalled(name, tokens, resumed):
    engine = simulated_domain.make_engine_spec()
    model = engine.models[name]
    pause_s = pass_time(engine, model, [tokens] * resumed)
    assert pause_s < cost_model.stall_timeout(engine, model)


@pytest.mark.parametrize("name", ["large", "small"])
def test_lost_group_is_detected_before_callers_give_up(name):
    engine = simulated_domain.make_engine_spec()
    assert cost_model.stall_timeout(engine, engine.models[name]) < MAX_DETECTION_S


@pytest.mark.parametrize("tokens", [674, 4030])
def test_first_event_timeout_covers_the_pass_in_progress(tokens):
    dispatcher, _ = dispatch_factories.make_dispatcher([dispatch_factories.make_head(0)])
    engine = simulated_domain.make_engine_spec()
    model = engine.models["small"]
    decision = dispatcher.choose(dispatch_factories.make_query(), 0.0)
    assert isinstance(decision, dispatch_decision.Send)
    pass_in_progress_s = pass_time(engine, model, [tokens] * 9)
    own_pass_s = pass_time(engine, model, [tokens] * 2)
    assert pass_in_progress_s + own_pass_s < decision.first_event_timeout_s


def test_head_that_sends_to_this_node_is_not_stalled_by_a_peer_report():
    """A peer that waits for a first event may report a stall while this node's streams progress."""
    engine = simulated_domain.make_engine_spec()
    model = engine.models["large"]
    stall_timeout_s = cost_model.stall_timeout(engine, model)
    tracker = stall_tracker.StallTracker()
    now = 0.0
    for _ in range(10):
        tracker.record_event("e0", now)
        now += pass_time(engine, model, [1420] * 5)
        tracker.record_peer_stall("e0", now)
        assert not tracker.is_stalled("e0", stall_timeout_s, now)
    assert tracker.is_stalled("e0", stall_timeout_s, now + stall_timeout_s)
