"""Services, their engines and their models as described by the configuration."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ModelSpec:
    """Model that replica groups of a service's engines can serve.

    Parameters
    ----------
    name : str
        Name of the model.
    engines_per_group : int
        Number of engines in a replica group.
    share : float
        Expected share of the service's work when traffic starts.
    time_factor : float
        Factor by which all times of a group are multiplied for this model.
    load_s, staged_load_s : float
        Time to load the weights from the weight store, and from the host if they are staged there.
    """

    name: str
    engines_per_group: int
    share: float
    time_factor: float
    load_s: float
    staged_load_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSpec:
    """Configured timings and limits of a service's model engines.

    Parameters
    ----------
    slots : int
        Number of sequences that a group runs concurrently.
    kv_capacity_tokens : int
        Capacity of a group's key-value cache.
    steps_per_pass : int
        Number of token steps per pass; a stream event holds the tokens of one pass.
    step_s, step_per_sequence_s, step_per_context_token_s : float
        A token step takes ``step_s``. Each running sequence adds ``step_per_sequence_s``, and
        ``step_per_context_token_s`` for each token of its context.
    prefill_tokens_per_s : float
        Prompt tokens processed per second.
    prefill_per_pair_s : float
        Additional time for each pair of a prompt token and an earlier token.
    chunk_tokens : int
        Maximum number of prompt tokens processed in one step.
    loads_per_s, max_concurrent_loads : float
        Rate of loads and number of concurrent loads that the weight store allows for all engines
        together.
    retained_models : int
        Number of staged models that a host keeps.
    formation_s : float
        Time from the order to open a group to its first request.
    mean_prompt_tokens, mean_answer_tokens : float
        Mean prompt and answer length of the service's requests.
    models : dict of str to ModelSpec
        Models by name.
    report_lag_s : float
        Age of the state that engines report.
    """

    slots: int
    kv_capacity_tokens: int
    steps_per_pass: int
    step_s: float
    step_per_sequence_s: float
    step_per_context_token_s: float
    prefill_tokens_per_s: float
    prefill_per_pair_s: float
    chunk_tokens: int
    loads_per_s: float
    max_concurrent_loads: float
    retained_models: int
    formation_s: float
    mean_prompt_tokens: float
    mean_answer_tokens: float
    models: dict[str, ModelSpec]
    report_lag_s: float = 0.0


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
    health_path : str or None
        Path of the health check of the service's endpoints.
    cold_start_s : float
        Time for which an endpoint is slow and fragile after its start; 0 if none is.
    cold_per_s : float
        Requests a second that such an endpoint takes from all nodes together; 0 for no limit.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None
    health_path: str | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
