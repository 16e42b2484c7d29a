"""Runs requests: claims those with idempotency keys, forwards them and records outcomes."""

from lynxlanding.errors import request as request_errors
from lynxlanding.requests import claim_record, recorded_response, request_forwarder, request_metrics

REPLAYED_HEADER = "x-replayed"


class RequestRunner:
    """Entry point of the requests package for the gateway.

    Parameters
    ----------
    router : RoutingActor proxy
        Selects endpoints and counts the requests at them.
    client : EndpointClient
        Sends attempts.
    retry : RetryActor proxy
        Decides on retries.
    claims : ClaimManager
        Claims requests with idempotency keys.
    stall_timeout_s : float
        Time without data after which a stream is resumed at another endpoint, in seconds.
    """

    def __init__(self, router, client, retry, claims, stall_timeout_s):
        self._router = router
        self._client = client
        self._retry = retry
        self._claims = claims
        self._stall_timeout_s = stall_timeout_s

    def run(self, request):
        """Run a request.

        Returns
        -------
        tuple of (int, dict, iterable of bytes)
            Status, headers and body. A stream raises ``errors.request.RequestError`` if it
            cannot be completed; the caller of this method has to close it.

        Raises
        ------
        errors.request.RequestError
            If the request is given up.
        """
        if request.idempotent or request.idempotency_key is None:
            # Without a key, ``Execution`` alone prevents a second execution of a non-idempotent
            # request.
            return self._make_forwarder(request, None).forward()
        return self._run_keyed(request)

    def _run_keyed(self, request):
        fingerprint = claim_record.compute_fingerprint(request.method, request.path, request.body)
        try:
            claim_result = self._claims.begin(
                request.workspace, request.idempotency_key, fingerprint, request.deadline
            )
        except request_errors.RequestError as e:
            request_metrics.CLAIMS.add(1, {"result": e.type_name})
            raise
        if isinstance(claim_result, recorded_response.RecordedResponse):
            request_metrics.CLAIMS.add(1, {"result": "replayed"})
            return (
                claim_result.status,
                {**dict(claim_result.headers), REPLAYED_HEADER: "true"},
                [claim_result.body],
            )
        request_metrics.CLAIMS.add(1, {"result": "claimed"})
        try:
            status, headers, body = self._make_forwarder(request, claim_result).forward()
        except BaseException:
            claim_result.give_up()
            raise
        # The outcome is written in the background, without delaying the response.
        claim_result.complete(
            recorded_response.make_recorded_response(status, headers.items(), b"".join(body))
        )
        return status, headers, body

    def _make_forwarder(self, request, ticket):
        return request_forwarder.RequestForwarder(
            request, self._router, self._client, self._retry, self._stall_timeout_s, ticket
        )
