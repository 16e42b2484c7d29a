"""Parses a WSGI environment into a ``CallerRequest``."""

import hashlib
import json
import math
import re
import time
import urllib.parse
import uuid

from lynxlanding.errors import request as request_errors
from lynxlanding.requests import caller_request

COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICE_PATH_PREFIX = "/services/"
# Endpoints receive only these headers of the caller.
FORWARDED_HEADERS = ("CONTENT_TYPE", "HTTP_ACCEPT", "HTTP_ACCEPT_LANGUAGE", "HTTP_USER_AGENT")
MAX_IDEMPOTENCY_KEY_LENGTH = 256
DEFAULT_PRIORITY = 5
_IDEMPOTENCY_KEY_PATTERN = re.compile(r"^[\x21-\x7e]+$")


def new_request_id():
    """Return a new random request id."""
    return uuid.uuid4().hex


class RequestParser:
    """Parses requests and validates them against a configuration.

    Parameters
    ----------
    settings : RequestSettings
        Limits on body size and timeout.
    """

    def __init__(self, settings):
        self._settings = settings

    def parse(self, environ, configuration, request_id):
        """Parse a request.

        Parameters
        ----------
        environ : dict
            WSGI environment.
        configuration : Snapshot
            Current configuration.
        request_id : str
            Id assigned to the request.

        Returns
        -------
        CallerRequest

        Raises
        ------
        errors.request.RequestError
            If the request is malformed or unauthorized, or its path, model, adapter or service
            does not exist.
        """
        received_at = time.monotonic()
        workspace = authenticate(environ, configuration)
        path = environ.get("PATH_INFO", "")
        body = self._read_body(environ)
        common_fields = {
            "request_id": request_id,
            "workspace": workspace,
            "method": environ["REQUEST_METHOD"],
            "headers": _select_forwarded_headers(environ),
            "body": body,
            "received_at": received_at,
            "deadline": received_at + self._parse_timeout_s(environ),
            "priority": _parse_priority(environ),
            "has_caller_left": environ.get("waitress.client_disconnected", _never_disconnected),
        }
        if path in COMPLETION_PATHS:
            return _parse_completion(common_fields, path, body, configuration)
        if path.startswith(SERVICE_PATH_PREFIX):
            return _parse_service_call(common_fields, environ, path, configuration)
        raise request_errors.NotFound(f"no such path: {path[:200]}")

    def _read_body(self, environ):
        limit = self._settings.max_body_bytes
        try:
            length = int(environ.get("CONTENT_LENGTH") or 0)
        except ValueError as e:
            raise request_errors.InvalidRequest("Content-Length is not a number") from e
        if length > limit:
            raise request_errors.BodyTooLarge(f"the body exceeds {limit} bytes")
        body = environ["wsgi.input"].read(length)
        if len(body) != length:
            raise request_errors.InvalidRequest("the body is shorter than Content-Length")
        return body

    def _parse_timeout_s(self, environ):
        text = environ.get("HTTP_X_REQUEST_TIMEOUT_MS")
        if text is None:
            return self._settings.default_timeout_s
        try:
            milliseconds = float(text)
        except ValueError as e:
            raise request_errors.InvalidRequest("X-Request-Timeout-Ms is not a number") from e
        if not math.isfinite(milliseconds) or milliseconds <= 0:
            raise request_errors.InvalidRequest("X-Request-Timeout-Ms must be above 0")
        return min(milliseconds / 1000, self._settings.max_timeout_s)


def authenticate(environ, configuration):
    """Return the workspace of the bearer token; raises ``Unauthorized`` if there is none."""
    scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    if scheme.lower() == "bearer" and token:
        digest = hashlib.sha256(token.strip().encode("latin-1", "replace")).hexdigest()
        for name, spec in configuration.of_kind("workspaces").items():
            if digest in spec.token_sha256:
                return name
    raise request_errors.Unauthorized("the bearer token is missing or not valid")


def _never_disconnected():
    return False


def _parse_completion(common_fields, path, body, configuration):
    if common_fields["method"] != "POST":
        raise request_errors.MethodNotAllowed(f"{path} supports only POST")
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as e:
        raise request_errors.InvalidRequest("the body is not valid JSON") from e
    if not isinstance(document, dict):
        raise request_errors.InvalidRequest("the body must be a JSON object")
    model = document.get("model")
    if not isinstance(model, str):
        raise request_errors.InvalidRequest("model: a string is required")
    field = "messages" if path.endswith("chat/completions") else "prompt"
    prompt = document.get(field)
    if not isinstance(prompt, list if field == "messages" else str) or not prompt:
        raise request_errors.InvalidRequest(f"{field}: missing or of the wrong type")
    stream = document.get("stream", False)
    if not isinstance(stream, bool):
        raise request_errors.InvalidRequest("stream: a boolean is required")
    max_tokens = document.get("max_tokens")
    if max_tokens is not None and (
        not isinstance(max_tokens, int) or isinstance(max_tokens, bool) or max_tokens < 1
    ):
        raise request_errors.InvalidRequest("max_tokens: a positive integer is required")
    base_model, _, adapter = model.partition(":")
    if base_model not in configuration.of_kind("models"):
        raise request_errors.NotFound(f"no such model: {model[:200]}")
    if adapter and adapter not in configuration.of_kind("adapters"):
        raise request_errors.NotFound(f"no such adapter: {adapter[:200]}")
    return caller_request.CallerRequest(
        **common_fields,
        target_kind=caller_request.MODEL,
        target=base_model,
        path=path,
        idempotent=True,
        idempotency_key=None,
        stream=stream,
        prompt=json.dumps(prompt).encode(),
    )


def _parse_service_call(common_fields, environ, path, configuration):
    service, _, endpoint_path_suffix = path[len(SERVICE_PATH_PREFIX) :].partition("/")
    spec = configuration.of_kind("services").get(service)
    if spec is None or spec.kind != "plain":
        raise request_errors.NotFound(f"no such service: {service[:200]}")
    endpoint_path = "/" + endpoint_path_suffix
    idempotent = _is_idempotent(spec, common_fields["method"], endpoint_path)
    quoted_path = urllib.parse.quote(endpoint_path.encode("latin-1"), safe="/:@!$&'()*+,;=~-._")
    if environ.get("QUERY_STRING"):
        quoted_path += "?" + environ["QUERY_STRING"]
    return caller_request.CallerRequest(
        **common_fields,
        target_kind=caller_request.SERVICE,
        target=service,
        path=quoted_path,
        idempotent=idempotent,
        idempotency_key=None if idempotent else _parse_idempotency_key(environ),
        stream=False,
        prompt=b"",
    )


def _is_idempotent(spec, method, path):
    if method in spec.idempotent_methods:
        return True
    for entry in spec.idempotent_paths:
        if entry.method == method and path.startswith(entry.prefix):
            return True
    return False


def _parse_idempotency_key(environ):
    key = environ.get("HTTP_IDEMPOTENCY_KEY")
    if key is None:
        return None
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not _IDEMPOTENCY_KEY_PATTERN.match(key):
        raise request_errors.InvalidRequest(
            f"Idempotency-Key must have 1 to {MAX_IDEMPOTENCY_KEY_LENGTH} visible ASCII characters"
        )
    return key


def _parse_priority(environ):
    text = environ.get("HTTP_X_PRIORITY")
    if text is None:
        return DEFAULT_PRIORITY
    if len(text) != 1 or text not in "0123456789":
        raise request_errors.InvalidRequest("X-Priority must be 0 to 9")
    return int(text)


def _select_forwarded_headers(environ):
    headers = {}
    for name in FORWARDED_HEADERS:
        value = environ.get(name)
        if value:
            headers[name.removeprefix("HTTP_").replace("_", "-").title()] = value
    return headers
