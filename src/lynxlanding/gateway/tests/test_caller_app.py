import hashlib
import io
import json
import types

import pytest

from lynxlanding.configuration import snapshot, specs
from lynxlanding.daemon import node_state
from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import caller_app, request_parser
from lynxlanding.settings import daemon_settings


class RefusingGate:
    """Refuses every request; admission comes before the claim is read."""

    def admit(self, request):
        raise request_errors.Overloaded("the queue is full", retry_after_s=2.5)


class NullObserver:
    """Ignores every observation."""

    def begin(self, request_id):
        ignore = lambda *arguments: None  # noqa: E731
        return types.SimpleNamespace(on_status=ignore, on_request=ignore)

    def end(self, *arguments):
        return


@pytest.mark.parametrize(
    ("headers", "executed"), [({}, "no"), ({"HTTP_IDEMPOTENCY_KEY": "job-1"}, "unknown")]
)
def test_refusal_before_claim_is_read(headers, executed):
    """Guards against ``executed: no`` for a key that may have run on another node.

    The request is refused before its claim is read, so an earlier submission is not ruled out.
    """
    token_sha256 = hashlib.sha256(b"secret").hexdigest()
    objects = {
        "workspaces": {"desk": specs.WorkspaceSpec(token_sha256=(token_sha256,))},
        "services": {"booking": specs.ServiceSpec(kind="plain")},
    }
    state = node_state.NodeState()
    state.set_configuration(snapshot.Snapshot(1, "", objects))
    parser = request_parser.RequestParser(daemon_settings.RequestSettings())
    app = caller_app.CallerApp(parser, state, None, NullObserver(), None, RefusingGate())
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/services/booking/book",
        "HTTP_AUTHORIZATION": "Bearer secret",
        "wsgi.input": io.BytesIO(),
        **headers,
    }
    responses = []
    body = app(
        environ, lambda status, response_headers: responses.append((status, dict(response_headers)))
    )
    status, response_headers = responses[0]
    assert status.startswith("503")
    assert (response_headers["X-Executed"], response_headers["Retry-After"]) == (executed, "3")
    assert json.loads(b"".join(body))["error"]["executed"] == executed
    assert state.in_flight == 0
