"""Pattern: the streams of a lost group resume at once on another group, which reads all prompts."""

import pytest

from lynxlanding.dispatch import choice, cost_model, stall_board
from lynxlanding.dispatch.tests import dispatch_world
from lynxlanding.replicas.tests import plan_world

# Within this time of a loss its streams go on elsewhere, so that callers do not give up.
FOUND_WITHIN_S = 0.5


def pass_time(engine, model, prompts):
    """Return the time of one pass of a full group that reads prompts between its token steps."""
    waiting = sum(prompts)
    total_s = 0.0
    for _ in range(engine.stride):
        read = min(waiting, engine.chunk_tokens)
        waiting -= read
        total_s += cost_model.step_time(engine, model, engine.slots)
        total_s += read / engine.prefill_tokens_per_s * model.pace
    return total_s


@pytest.mark.parametrize("resumed", range(1, 19))
@pytest.mark.parametrize("tokens", [674, 1420, 1960, 4030])
@pytest.mark.parametrize("name", ["large", "small"])
def test_a_group_that_reads_resumed_prompts_is_not_taken_for_stalled(name, tokens, resumed):
    engine = plan_world.engine_spec()
    model = engine.models[name]
    pause_s = pass_time(engine, model, [tokens] * resumed)
    assert pause_s < cost_model.stall_time(engine, model)


@pytest.mark.parametrize("name", ["large", "small"])
def test_a_lost_group_is_found_before_callers_give_up(name):
    engine = plan_world.engine_spec()
    assert cost_model.stall_time(engine, engine.models[name]) < FOUND_WITHIN_S


@pytest.mark.parametrize("tokens", [674, 4030])
def test_a_first_event_may_wait_for_the_pass_under_way(tokens):
    made, _ = dispatch_world.make_dispatcher([dispatch_world.head(0)])
    engine = plan_world.engine_spec()
    model = engine.models["small"]
    send = made.choose(dispatch_world.question(), 0.0)
    assert isinstance(send, choice.Send)
    waiting = pass_time(engine, model, [tokens] * 9)
    reading = pass_time(engine, model, [tokens] * 2)
    assert waiting + reading < send.first_stall_s


def test_a_head_that_sends_once_a_pass_is_not_stalled_for_others():
    """A peer that waited for its first event calls the head stalled; own streams know better."""
    engine = plan_world.engine_spec()
    model = engine.models["large"]
    silence_s = cost_model.stall_time(engine, model)
    board = stall_board.StallBoard()
    now = 0.0
    for _ in range(10):
        board.note_event("e0", now)
        now += pass_time(engine, model, [1420] * 5)
        board.note_peer_stall("e0", now)
        assert not board.is_stalled("e0", silence_s, now)
    assert board.is_stalled("e0", silence_s, now + silence_s)
