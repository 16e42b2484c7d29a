"""Services of the configuration."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ModelSpec:
    """A model that groups of a service's engines can serve.

    Parameters
    ----------
    name : str
        Name of the model.
    size : int
        Engines of one replica group.
    share : float
        The model's share of the work when traffic starts.
    pace : float
        Factor on all times of a group of this model.
    load_s, warm_s : float
        Time to load the weights from the weight store, or from the host where they are staged.
    """

    name: str
    size: int
    share: float
    pace: float
    load_s: float
    warm_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSpec:
    """Published times and limits of a service's model engines.

    Parameters
    ----------
    slots : int
        Sequences that a group runs at once.
    kv_capacity_tokens : int
        Memory of a group for contexts.
    stride : int
        Token steps in one pass; a stream event holds the tokens of one pass.
    step_s, step_per_sequence_s, step_per_context_token_s : float
        A token step takes ``step_s``, plus ``step_per_sequence_s`` and
        ``step_per_context_token_s`` times the length of the context for each running sequence.
    prefill_tokens_per_s : float
        Rate of reading prompts.
    prefill_pair_s : float
        Further time for each pair of a prompt token and an earlier token.
    chunk_tokens : int
        Prompt tokens read in one step.
    loads_per_s, loads_at_once : float
        Limits of the weight store for all engines together.
    retained_models : int
        Staged models that a host keeps.
    form_s : float
        Time from the open order to the first request.
    usual_prompt_tokens, usual_answer_tokens : float
        Means over the service's requests.
    models : dict of str to ModelSpec
        Models by name.
    """

    slots: int
    kv_capacity_tokens: int
    stride: int
    step_s: float
    step_per_sequence_s: float
    step_per_context_token_s: float
    prefill_tokens_per_s: float
    prefill_pair_s: float
    chunk_tokens: int
    loads_per_s: float
    loads_at_once: float
    retained_models: int
    form_s: float
    usual_prompt_tokens: float
    usual_answer_tokens: float
    models: dict[str, ModelSpec]


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceSpec:
    """A service; ``engine`` is None for a plain service."""

    name: str
    max_connections: int
    engine: EngineSpec | None
