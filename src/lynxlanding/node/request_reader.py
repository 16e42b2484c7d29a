"""Reads a request from a WSGI environment and matches it with a route."""

from lynxlanding.crashes import request_digest
from lynxlanding.dispatch import cost_model, forward_request
from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import strict_parser

MIN_URGENCY = 0
MAX_URGENCY = 9
# Assumed if neither the caller nor the service states the size of requests.
DEFAULT_WORK = cost_model.Work(1000.0, 150.0)


class RequestReader:
    """Converts WSGI environments to ``ForwardRequest`` objects.

    Parameters
    ----------
    node_status : NodeStatus
        Provides the active configuration.
    codec : module
        Provides ``decode_request``.
    random_state : random.Random
        Selects the service of a route with several targets.
    """

    def __init__(self, node_status, codec, random_state):
        self._node_status = node_status
        self._codec = codec
        self._random_state = random_state

    def read(self, environ, decoded_headers, received_at):
        """Return the ``ForwardRequest`` of an environment.

        Parameters
        ----------
        environ : dict
            WSGI environment.
        decoded_headers : RequestMetadata
            Decoded headers.
        received_at : float
            Arrival of the request, monotonic seconds.

        Raises
        ------
        errors.request.RequestError
            If the request is refused.
        """
        self._node_status.wait_for_initial_sync()
        configuration = self._node_status.configuration
        if configuration is None:
            raise request_errors.NoConfiguration("no configuration yet", retry_after_s=0.5)
        target = environ["REQUEST_URI"]
        if not target.startswith("/") or not target.isascii():
            raise request_errors.InvalidRequest("the request target is not a path")
        parts = environ.get("HTTP_HOST", "").rpartition(":")
        host_name = parts[0] if parts[1] and parts[2].isdigit() else environ.get("HTTP_HOST", "")
        route = configuration.find_route(host_name, target.partition("?")[0])
        if route is None:
            raise request_errors.NotFound("no route matches the host and path")
        workspace = None
        if configuration.requires_api_key and not route.is_public:
            workspace = (
                configuration.find_workspace(decoded_headers.api_key)
                if decoded_headers.api_key
                else None
            )
            if workspace is None:
                raise request_errors.Unauthorized("the key is missing or unknown")
        body = environ["wsgi.input"].read()
        if len(body) > configuration.limits.max_body_bytes:
            raise request_errors.BodyTooLarge("the body exceeds the limit")
        timeout_s = route.timeout_s
        if decoded_headers.caller_timeout_s is not None:
            timeout_s = min(timeout_s, decoded_headers.caller_timeout_s)
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        service = self._select_service(route)
        workspace_name = None if workspace is None else workspace.name
        method = environ["REQUEST_METHOD"]
        return forward_request.ForwardRequest(
            metadata=decoded_headers,
            method=method,
            target=target,
            headers=environ[strict_parser.RAW_HEADERS_KEY],
            body=body,
            route=route,
            service=service,
            workspace=workspace_name,
            priority=priority,
            urgency=max(MIN_URGENCY, min(MAX_URGENCY, priority)) if route.is_stream else None,
            work=_estimate_work(decoded_headers, configuration.services.get(service)),
            received_at=received_at,
            caller_deadline=received_at + timeout_s,
            has_caller_left=environ["waitress.client_disconnected"],
            key=request_digest.compute_key(method, target, workspace_name, body),
            get_answer_by=self._node_status.get_answer_by,
        )

    def _select_service(self, route):
        """Select a target's service at random, in proportion to the weights."""
        if len(route.targets) == 1:
            return route.targets[0].service
        total_weight = 0.0
        for target in route.targets:
            total_weight += target.weight
        remaining = self._random_state.random() * total_weight
        for target in route.targets:
            remaining -= target.weight
            if remaining < 0:
                return target.service
        return route.targets[-1].service


def _estimate_work(decoded_headers, service):
    default = DEFAULT_WORK
    if service is not None and service.engine is not None:
        engine = service.engine
        default = cost_model.Work(engine.mean_prompt_tokens, engine.mean_answer_tokens)
    answer_tokens = decoded_headers.expected_answer_tokens
    if answer_tokens is None:
        answer_tokens = default.answer_tokens
    if decoded_headers.max_answer_tokens:
        answer_tokens = min(answer_tokens, decoded_headers.max_answer_tokens)
    return cost_model.Work(decoded_headers.prompt_tokens or default.prompt_tokens, answer_tokens)
