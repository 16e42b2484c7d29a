"""Typed configuration objects.

Fields of type ``Name`` refer to objects of other kinds; ``validation`` checks these references.
"""

import datetime
from typing import Annotated, Literal

import pydantic

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Sha256 = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
Address = Annotated[str, pydantic.Field(pattern=r"^[0-9A-Za-z.\-\[\]:]+:[0-9]{1,5}$")]
Rate = Annotated[float, pydantic.Field(ge=0, le=1e9, allow_inf_nan=False)]


class Spec(pydantic.BaseModel):
    """Base class of the configuration objects; unknown fields are rejected."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class WorkspaceSpec(Spec):
    """A customer of the service.

    Attributes
    ----------
    token_sha256 : tuple of str
        SHA-256 digests of the accepted bearer tokens.
    owed_requests_per_s, owed_tokens_per_s : float
        Capacity guaranteed to the workspace until ``until``.
    until : datetime or None
        End of the guarantee; None means no end.
    """

    token_sha256: tuple[Sha256, ...] = pydantic.Field(min_length=1, max_length=16)
    owed_requests_per_s: Rate = 0.0
    owed_tokens_per_s: Rate = 0.0
    until: datetime.datetime | None = None


class ModelSpec(Spec):
    """A model that callers name in the field ``model``.

    Attributes
    ----------
    version : str
        Version to serve.
    vms_per_replica : int
        Number of VMs that one replica spans.
    replica_requests_per_s, replica_tokens_per_s : float or None
        Capacity of one replica; where all models state it, owed capacity is checked against it.
    """

    version: Name
    vms_per_replica: Annotated[int, pydantic.Field(ge=1, le=64)] = 1
    replica_requests_per_s: Rate | None = None
    replica_tokens_per_s: Rate | None = None


class VersionSpec(Spec):
    """One version of a model's weights.

    Attributes
    ----------
    model : str
        Model to which the version belongs.
    weights : str
        Path in the weight store.
    """

    model: Name
    weights: Annotated[str, pydantic.Field(min_length=1, max_length=512)]


class AdapterSpec(Spec):
    """An adapter; callers select it by naming ``model:adapter``.

    Attributes
    ----------
    model : str
        Model that the adapter extends.
    weights : str
        Path in the weight store.
    """

    model: Name
    weights: Annotated[str, pydantic.Field(min_length=1, max_length=512)]


class GroupSpec(Spec):
    """Desired replica groups of one model.

    Attributes
    ----------
    model : str
        Model that the groups serve.
    replicas : int
        Desired number of replica groups.
    places : tuple of str
        Data centres that may hold the groups; empty means any.
    adapters : tuple of str
        Adapters to load.
    checks_fencing_number : bool
        Whether the engines reject orders with a stale fencing number.
    """

    model: Name
    replicas: Annotated[int, pydantic.Field(ge=0, le=10_000)]
    places: tuple[Name, ...] = ()
    adapters: tuple[Name, ...] = ()
    checks_fencing_number: bool = False


class IdempotentPath(Spec):
    """Method and path prefix of idempotent calls, which may be retried."""

    method: Annotated[str, pydantic.Field(pattern=r"^[A-Z]{1,16}$")]
    prefix: Annotated[str, pydantic.Field(max_length=512)]


class ServiceSpec(Spec):
    """A service with fixed endpoints: engines of a model, or a plain HTTP service.

    Attributes
    ----------
    kind : {"model", "plain"}
        Whether the endpoints are engines of a model or a plain service.
    endpoints : tuple of str
        ``host:port`` of the fixed endpoints. For models, replica groups add their own.
    model : str or None
        Model that the fixed engines serve; only for kind ``model``.
    idempotent_methods : tuple of str
        Methods whose calls may be retried; only for kind ``plain``.
    idempotent_paths : tuple of IdempotentPath
        Further calls that may be retried.
    """

    kind: Literal["model", "plain"]
    endpoints: tuple[Address, ...] = ()
    model: Name | None = None
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "PUT", "DELETE", "OPTIONS")
    idempotent_paths: tuple[IdempotentPath, ...] = ()


class WinddownStep(Spec):
    """Remaining capacity of a model from a given time.

    Attributes
    ----------
    at : datetime
        Time at which the step takes effect.
    replicas : int
        Number of replica groups that remain.
    """

    at: datetime.datetime
    replicas: Annotated[int, pydantic.Field(ge=0, le=10_000)]


class WinddownSpec(Spec):
    """Schedule that reduces the capacity of a model until its shutdown date.

    Attributes
    ----------
    model : str
        Model to shut down.
    date : datetime
        Public shutdown date.
    steps : tuple of WinddownStep
        Steps in chronological order, none after the date.
    """

    model: Name
    date: datetime.datetime
    steps: tuple[WinddownStep, ...] = ()


class DrainSpec(Spec):
    """An operator's request to drain an endpoint.

    Attributes
    ----------
    address : str
        ``host:port`` of the endpoint to drain.
    reason : str
        Reason, recorded in the history.
    """

    address: Address
    reason: Annotated[str, pydantic.Field(max_length=512)] = ""
