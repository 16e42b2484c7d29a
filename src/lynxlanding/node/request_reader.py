"""Reads a request from the WSGI environment and matches it with a route."""

from lynxlanding.dispatch import cost_model, forward_request
from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import strict_parser

MIN_URGENCY = 0
MAX_URGENCY = 9
# Assumed where neither the caller nor the service says anything about the size.
USUAL_WORK = cost_model.Work(1000.0, 150.0)


class RequestReader:
    """Turns WSGI environments into ``ForwardRequest`` objects.

    Parameters
    ----------
    view : NodeView
        Configuration in force.
    codec : module
        Offers ``decode_request``.
    random_state : numpy.random.Generator
        Draws the service of a split route.
    """

    def __init__(self, view, codec, random_state):
        self._view = view
        self._codec = codec
        self._random_state = random_state

    def read(self, environ, marks, received_at):
        """Return the ``ForwardRequest`` of an environment.

        Parameters
        ----------
        environ : dict
            WSGI environment.
        marks : RequestMarks
            Decoded headers.
        received_at : float
            Monotonic seconds.

        Raises
        ------
        errors.request.RequestError
            If the request is refused.
        """
        self._view.wait_until_known()
        configuration = self._view.configuration
        if configuration is None:
            raise request_errors.NoConfiguration("no configuration yet", retry_after_s=0.5)
        target = environ["REQUEST_URI"]
        if not target.startswith("/") or not target.isascii():
            raise request_errors.InvalidRequest("the request target is not a path")
        host = environ.get("HTTP_HOST", "").rpartition(":")
        host_name = host[0] if host[1] and host[2].isdigit() else environ.get("HTTP_HOST", "")
        route = configuration.find_route(host_name, target.partition("?")[0])
        if route is None:
            raise request_errors.NotFound("no route matches the host and path")
        workspace = None
        if configuration.requires_key and not route.is_public:
            workspace = configuration.find_workspace(marks.key) if marks.key else None
            if workspace is None:
                raise request_errors.Unauthorized("the key is missing or unknown")
        body = environ["wsgi.input"].read()
        if len(body) > configuration.limits.max_body_bytes:
            raise request_errors.BodyTooLarge("the body exceeds the limit")
        patience_s = route.timeout_s
        if marks.patience_s is not None:
            patience_s = min(patience_s, marks.patience_s)
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        service = self._draw_service(route)
        return forward_request.ForwardRequest(
            marks=marks,
            method=environ["REQUEST_METHOD"],
            target=target,
            headers=environ[strict_parser.RAW_HEADERS],
            body=body,
            route=route,
            service=service,
            workspace=None if workspace is None else workspace.name,
            urgency=max(MIN_URGENCY, min(MAX_URGENCY, priority)) if route.is_stream else None,
            work=_estimate(marks, configuration.services.get(service)),
            received_at=received_at,
            deadline=received_at + patience_s,
            has_caller_left=environ["waitress.client_disconnected"],
        )

    def _draw_service(self, route):
        if len(route.targets) == 1:
            return route.targets[0].service
        total = 0.0
        for target in route.targets:
            total += target.weight
        drawn = self._random_state.random() * total
        for target in route.targets:
            drawn -= target.weight
            if drawn < 0:
                return target.service
        return route.targets[-1].service


def _estimate(marks, service):
    usual = USUAL_WORK
    if service is not None and service.engine is not None:
        engine = service.engine
        usual = cost_model.Work(engine.usual_prompt_tokens, engine.usual_answer_tokens)
    answer = marks.expected_answer_tokens
    if answer is None:
        answer = usual.answer_tokens
    if marks.max_answer_tokens:
        answer = min(answer, marks.max_answer_tokens)
    return cost_model.Work(marks.prompt_tokens or usual.prompt_tokens, answer)
