"""Metadata of a response, decoded from the endpoint's headers."""

import dataclasses

from lynxlanding.fleet import endpoint_statements


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointLoad:
    """Running and waiting requests of an endpoint, and its number of slots."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseMetadata:
    """Metadata of a response.

    Parameters
    ----------
    request_id : str or None
        Identity of the request that the response belongs to.
    is_sealed : bool
        Whether the response carries the endpoint's seal.
    was_not_run : bool
        Whether the endpoint states that it did not run the request.
    load : EndpointLoad or None
        Load that the endpoint reports.
    is_encoded : bool
        Whether the body has a content encoding, which only an intermediary can have applied.
    closes_connection : bool
        Whether the endpoint closes the connection after the response.
    idle_timeout_s : float or None
        Time for which the endpoint keeps an idle connection open, in seconds.
    statements : EndpointStatements
        What the endpoint states about itself.
    is_first_on_connection : bool
        Whether nothing else was requested on the connection before.
    """

    request_id: str | None
    is_sealed: bool
    was_not_run: bool
    load: EndpointLoad | None
    is_encoded: bool
    closes_connection: bool
    idle_timeout_s: float | None
    statements: endpoint_statements.EndpointStatements = endpoint_statements.EndpointStatements()
    is_first_on_connection: bool = True

    def may_be_of_another_request(self, request_id, status):
        """Return whether the response may be a late second one to an earlier request.

        Endpoints repeat the request's id in all that they run. Refusals may lack it; on a
        connection that is used again, one without it may be a copy of an earlier refusal.
        """
        if self.request_id is None:
            is_refusal = self.was_not_run or status == 421
            return bool(request_id) and not (is_refusal and self.is_first_on_connection)
        return self.request_id != request_id
