"""Services, their engines and their models as described by the configuration."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ModelSpec:
    """Model that replica groups of a service's engines can serve.

    Parameters
    ----------
    name : str
        Name of the model.
    size : int
        Number of engines in a replica group.
    share : float
        Expected share of the service's work when traffic starts.
    pace : float
        Factor by which all times of a group are multiplied for this model.
    load_s, warm_s : float
        Time to load the weights from the weight store, and from the host if they are staged there.
    """

    name: str
    size: int
    share: float
    pace: float
    load_s: float
    warm_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSpec:
    """Configured timings and limits of a service's model engines.

    Parameters
    ----------
    slots : int
        Number of sequences that a group runs concurrently.
    kv_capacity_tokens : int
        Capacity of a group's key-value cache.
    stride : int
        Number of token steps per pass; a stream event holds the tokens of one pass.
    step_s, step_per_sequence_s, step_per_context_token_s : float
        A token step takes ``step_s``. Each running sequence adds ``step_per_sequence_s``, and
        ``step_per_context_token_s`` for each token of its context.
    prefill_tokens_per_s : float
        Prompt tokens processed per second.
    prefill_pair_s : float
        Additional time for each pair of a prompt token and an earlier token.
    chunk_tokens : int
        Maximum number of prompt tokens processed in one step.
    loads_per_s, loads_at_once : float
        Rate of loads and number of concurrent loads that the weight store allows for all engines
        together.
    retained_models : int
        Number of staged models that a host keeps.
    form_s : float
        Time from the order to open a group to its first request.
    usual_prompt_tokens, usual_answer_tokens : float
        Mean prompt and answer length of the service's requests.
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
    """Service of the configuration.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Maximum number of connections.
    engine : EngineSpec or None
        Specification of the model engines; None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None
