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
    """Refuses every request before its claim is read."""

    def admit(self, request):
        raise request_errors.Overloaded("the queue is full", retry_after_s=2.5)


class IgnoringObserver:
    """Ignores every observation."""

    def begin(self, request_id):
        ignore = lambda *arguments: None  # noqa: E731
        return types.SimpleNamespace(on_status=ignore, identify=ignore)

    def end(self, *arguments):
        return


@pytest.mark.parametrize(
    ("headers", "executed"), [({}, "no"), ({"HTTP_IDEMPOTENCY_KEY": "job-1"}, "unknown")]
)
def test_refusal_before_the_claim(headers, executed):
    """Guards against ``no`` to a key whose earlier submission may have run on another node."""
    digest = hashlib.sha256(b"secret").hexdigest()
    objects = {
        "workspaces": {"desk": specs.WorkspaceSpec(token_sha256=(digest,))},
        "services": {"booking": specs.ServiceSpec(kind="plain")},
    }
    state = node_state.NodeState()
    state.set_configuration(snapshot.Snapshot(1, "", objects))
    parser = request_parser.RequestParser(daemon_settings.RequestSettings())
    app = caller_app.CallerApp(parser, state, None, IgnoringObserver(), None, RefusingGate())
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/services/booking/book",
        "HTTP_AUTHORIZATION": "Bearer secret",
        "wsgi.input": io.BytesIO(),
        **headers,
    }
    started = []
    body = app(environ, lambda status, sent: started.append((status, dict(sent))))
    status, sent = started[0]
    assert status.startswith("503")
    assert (sent["X-Executed"], sent["Retry-After"]) == (executed, "3")
    assert json.loads(b"".join(body))["error"]["executed"] == executed
    assert state.in_flight == 0
