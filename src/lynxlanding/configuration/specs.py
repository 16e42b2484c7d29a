"""Typed configuration objects.

Names refer to objects of other kinds; ``validation`` checks references across objects.
"""

import datetime
from typing import Annotated, Literal

import pydantic

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Sha256 = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
Address = Annotated[str, pydantic.Field(pattern=r"^[0-9A-Za-z.\-\[\]:]+:[0-9]{1,5}$")]
Rate = Annotated[float, pydantic.Field(ge=0, le=1e9, allow_inf_nan=False)]


class Spec(pydantic.BaseModel):
    """Root of the configuration objects; unknown fields are refused."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class WorkspaceSpec(Spec):
    """A customer of the service.

    Attributes
    ----------
    token_sha256 : tuple of str
        SHA-256 digests of the accepted bearer tokens.
    owed_requests_per_s, owed_tokens_per_s : float
        Capacity owed until ``until``.
    until : datetime or None
        Date until which the capacity is owed.
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
        Version that serves.
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
    """A method and path prefix whose calls may be repeated."""

    method: Annotated[str, pydantic.Field(pattern=r"^[A-Z]{1,16}$")]
    prefix: Annotated[str, pydantic.Field(max_length=512)]


class ServiceSpec(Spec):
    """A service: a model's fixed engines, or a plain service.

    Attributes
    ----------
    kind : {"model", "plain"}
        What the endpoints speak.
    endpoints : tuple of str
        ``host:port`` of the fixed endpoints. Replica groups add theirs for models.
    model : str or None
        Model that the fixed engines serve; only for kind ``model``.
    idempotent_methods : tuple of str
        Methods whose calls may be repeated; only for kind ``plain``.
    idempotent_paths : tuple of IdempotentPath
        Further calls that may be repeated.
    """

    kind: Literal["model", "plain"]
    endpoints: tuple[Address, ...] = ()
    model: Name | None = None
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "PUT", "DELETE", "OPTIONS")
    idempotent_paths: tuple[IdempotentPath, ...] = ()


class WinddownStep(Spec):
    """Capacity of a model from a moment on.

    Attributes
    ----------
    at : datetime
        Moment from which the step holds.
    replicas : int
        Replica groups that remain.
    """

    at: datetime.datetime
    replicas: Annotated[int, pydantic.Field(ge=0, le=10_000)]


class WinddownSpec(Spec):
    """Schedule on which a model's capacity goes down to its shutdown date.

    Attributes
    ----------
    model : str
        Model that is shut down.
    date : datetime
        Public shutdown date.
    steps : tuple of WinddownStep
        Steps in order of time, none after the date.
    """

    model: Name
    date: datetime.datetime
    steps: tuple[WinddownStep, ...] = ()


class DrainSpec(Spec):
    """An operator's order that a VM leaves.

    Attributes
    ----------
    address : str
        ``host:port`` of the endpoint that leaves.
    reason : str
        Why, for the history.
    """

    address: Address
    reason: Annotated[str, pydantic.Field(max_length=512)] = ""
