"""Runs requests: claims keyed ones, sends attempts and records outcomes."""

from lynxlanding.errors import request as request_errors
from lynxlanding.requests import claim_record, recorded_response, request_forwarder, request_metrics

REPLAYED = "x-replayed"


class RequestRunner:
    """Entry point of the gateway into the requests package.

    Parameters
    ----------
    router : RoutingActor proxy
        Chooses and releases endpoints.
    client : EndpointClient
        Sends attempts.
    retry : RetryActor proxy
        Permits retries.
    claims : ClaimKeeper
        Claims keyed requests.
    stall_s : float
        A stream without a byte for this long is resumed elsewhere, in seconds.
    """

    def __init__(self, router, client, retry, claims, stall_s):
        self._router = router
        self._client = client
        self._retry = retry
        self._claims = claims
        self._stall_s = stall_s

    def run(self, request):
        """Run a request.

        Returns
        -------
        tuple of (int, dict, iterable of bytes)
            Status, headers and body. A stream raises ``errors.request.RequestError`` if it
            cannot be completed, and is closed by the caller of this method.

        Raises
        ------
        errors.request.RequestError
            If the request is given up.
        """
        if request.idempotent or request.idempotency_key is None:
            # A non-idempotent request without a key is sent at most once by its execution.
            return self._make_run(request, None).run()
        return self._run_keyed(request)

    def _run_keyed(self, request):
        fingerprint = claim_record.fingerprint_of(request.method, request.path, request.body)
        try:
            claimed = self._claims.begin(
                request.workspace, request.idempotency_key, fingerprint, request.deadline
            )
        except request_errors.RequestError as e:
            request_metrics.CLAIMS.add(1, {"result": e.type_name})
            raise
        if isinstance(claimed, recorded_response.RecordedResponse):
            request_metrics.CLAIMS.add(1, {"result": "replayed"})
            return claimed.status, {**dict(claimed.headers), REPLAYED: "true"}, [claimed.body]
        request_metrics.CLAIMS.add(1, {"result": "claimed"})
        try:
            status, headers, body = self._make_run(request, claimed).run()
        except BaseException:
            claimed.give_up()
            raise
        # The outcome is written in the background; the response does not wait for it.
        claimed.complete(recorded_response.record(status, headers.items(), b"".join(body)))
        return status, headers, body

    def _make_run(self, request, ticket):
        return request_forwarder.RequestRun(
            request, self._router, self._client, self._retry, self._stall_s, ticket
        )
