"""Predicts the time to the first event of a stream from an engine's published times."""

import dataclasses

# Margin for network and thread scheduling delays on top of the longest pass of a working group.
STALL_MARGIN_S = 0.06
# A new request waits for the pass in progress and for the pass that prefills its prompt.
FIRST_EVENT_PASSES = 2.0
# Allowed ratio of actual to predicted time to the first event when requests are queued.
FIRST_EVENT_FACTOR = 1.5


@dataclasses.dataclass(slots=True, frozen=True)
class Work:
    """Size of one request in tokens."""

    prompt_tokens: float
    answer_tokens: float


def step_time(engine, model, running):
    """Return the duration of one decode step of a group, in seconds.

    Parameters
    ----------
    engine : EngineSpec
        Published times.
    model : ModelSpec
        The group's model.
    running : float
        Number of sequences in the batch.
    """
    mean_context = engine.mean_prompt_tokens + engine.mean_answer_tokens / 2
    per_sequence_s = engine.step_per_sequence_s + mean_context * engine.step_per_context_token_s
    return (engine.step_s + running * per_sequence_s) * model.time_factor


def prefill_time(engine, model, prompt_tokens):
    """Return the time to prefill a prompt, in seconds."""
    pairs = prompt_tokens * prompt_tokens / 2
    return (
        prompt_tokens / engine.prefill_tokens_per_s + pairs * engine.prefill_per_pair_s
    ) * model.time_factor


def service_time(engine, model, work, running):
    """Return the time that a request occupies a slot, in seconds."""
    decode_s = work.answer_tokens * step_time(engine, model, running)
    return prefill_time(engine, model, work.prompt_tokens) + decode_s


def max_pass_time(engine, model):
    """Return the maximum duration of a pass, in seconds.

    The batch is full, and the pass prefills as many prompt tokens as it can.
    """
    prefill_s = engine.chunk_tokens / engine.prefill_tokens_per_s * model.time_factor
    return engine.steps_per_pass * (step_time(engine, model, engine.slots) + prefill_s)


def stall_timeout(engine, model):
    """Return the time between two events that a working group does not exceed, in seconds.

    Prefilling the prompts of other requests prolongs a pass. A stream that fails over to another
    group is prefilled again there, so a timeout that takes a long pass for a stall would make
    failovers cascade from group to group.
    """
    return max_pass_time(engine, model) + STALL_MARGIN_S


def first_event_timeout(engine, model, predicted_s):
    """Return the time within which a working group sends the first event, in seconds."""
    passes_s = FIRST_EVENT_PASSES * max_pass_time(engine, model)
    return max(passes_s, FIRST_EVENT_FACTOR * predicted_s) + STALL_MARGIN_S


def first_event_time(engine, model, work, load):
    """Return the predicted time to the first event, in seconds.

    Parameters
    ----------
    engine : EngineSpec
        Published times.
    model : ModelSpec
        The group's model.
    work : Work
        Size of the request.
    load : int
        Requests already running or queued at the group's head.
    """
    running = min(load, engine.slots)
    pass_s = engine.steps_per_pass * step_time(engine, model, running)
    # Half a pass is left on average when the request arrives, followed by the request's own pass.
    predicted_s = 1.5 * pass_s + prefill_time(engine, model, work.prompt_tokens)
    queued_ahead = load - engine.slots
    if queued_ahead < 0:
        return predicted_s
    mean_work = Work(engine.mean_prompt_tokens, engine.mean_answer_tokens)
    slot_release_s = service_time(engine, model, mean_work, engine.slots) / engine.slots
    return predicted_s + (queued_ahead + 1) * slot_release_s
