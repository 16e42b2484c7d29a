"""The beginning of an endpoint's response."""

import dataclasses
from collections.abc import Iterator


@dataclasses.dataclass(slots=True)
class EndpointResponse:
    """Status and headers, with the body to be read.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Headers by lower-case name.
    chunks : Iterator of bytes
        Body as it arrives; raises ``errors.endpoint.AttemptError`` if it breaks.
    """

    status: int
    headers: dict
    chunks: Iterator[bytes]
