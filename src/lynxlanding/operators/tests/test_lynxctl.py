import json
import threading
import wsgiref.simple_server

import pytest
from click import testing

from lynxlanding.errors import configuration as configuration_errors
from lynxlanding.operators import _burn_output, admin_app, admin_client, exit_codes, lynxctl
from lynxlanding.operators.tests import fakes


class _SilentRequestHandler(wsgiref.simple_server.WSGIRequestHandler):
    def log_message(self, *arguments):
        pass


@pytest.fixture
def configuration():
    return fakes.FakeConfiguration()


@pytest.fixture
def node_url(configuration):
    app = admin_app.AdminApp(configuration, fakes.FakeViewSource(), fakes.FakeBurnReportSource())
    server = wsgiref.simple_server.make_server(
        "127.0.0.1", 0, app, handler_class=_SilentRequestHandler
    )
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield f"http://127.0.0.1:{server.server_port}"
    server.shutdown()
    server.server_close()
    thread.join()


@pytest.fixture
def run_lynxctl(monkeypatch):
    monkeypatch.setattr(admin_client, "INITIAL_RETRY_DELAY_S", 0.01)

    def invoke(*arguments, text=None):
        return testing.CliRunner().invoke(lynxctl.main, arguments, input=text)

    return invoke


def test_query_as_table_and_json(run_lynxctl, node_url):
    result = run_lynxctl("--node", node_url, "query", "show address, running of serving")
    assert result.exit_code == exit_codes.OK
    assert "10.0.0.1:80        2" in result.output
    result = run_lynxctl("--node", node_url, "--output", "json", "query", "count serving")
    assert json.loads(result.stdout)["results"][0]["rows"] == [[1]]


def test_syntax_error_is_marked_locally(run_lynxctl):
    """A syntax error must be reported with its position and without contacting a node."""
    result = run_lynxctl("query", "show serving\n  wher place = a")
    assert result.exit_code == exit_codes.INVALID
    assert "line 2, column 3" in result.stderr
    assert "    wher place = a\n    ^" in result.stderr


def test_apply_and_history(run_lynxctl, node_url, configuration):
    result = run_lynxctl(
        "--node", node_url, "apply", "-", "--author", "amina", text="scale group g to 9"
    )
    assert result.exit_code == exit_codes.OK
    assert "replicas" in result.output
    assert configuration.groups["g"].replicas == 9
    result = run_lynxctl("--node", node_url, "history")
    assert "amina" in result.output
    assert "scale group g to 9" in result.output


def test_lost_response_is_retried_with_same_change_id(run_lynxctl, node_url, configuration):
    """A retry after a lost response must neither apply the change twice nor report a failure."""
    configuration.lost_commit_responses = 1
    text = "create group h with model = m, replicas = 1"
    result = run_lynxctl("--node", node_url, "apply", "-", text=text)
    assert result.exit_code == exit_codes.OK
    assert "accepted before" in result.output
    assert len(configuration.entries) == 1


@pytest.mark.parametrize(
    ("error", "code", "hint"),
    [
        (configuration_errors.RevisionConflict("x", 7), exit_codes.CONFLICT, "lynxctl history"),
        (configuration_errors.StoreNotConfirmed("old"), exit_codes.NOT_ACCEPTED, "try again"),
        (
            configuration_errors.CommitOutcomeUnknown("lost"),
            exit_codes.OUTCOME_UNKNOWN,
            "repeat with --change-id",
        ),
        (configuration_errors.InvalidObject("groups/g", "bad"), exit_codes.INVALID, "correct"),
    ],
)
def test_commit_errors_have_exit_codes_and_hints(
    run_lynxctl, node_url, configuration, error, code, hint
):
    configuration.commit_error = error
    result = run_lynxctl("--node", node_url, "apply", "-", text="scale group g to 9")
    assert result.exit_code == code
    assert hint in result.stderr


def test_statement_error_from_node_is_marked(run_lynxctl, node_url):
    result = run_lynxctl("--node", node_url, "apply", "-", text="scale group gg to 9")
    assert result.exit_code == exit_codes.INVALID
    assert "did you mean 'g'" in result.stderr
    assert "              ^" in result.stderr


def test_missing_invalid_or_unreachable_node(run_lynxctl):
    assert run_lynxctl("query", "show serving").exit_code == exit_codes.USAGE
    assert (
        run_lynxctl("--node", "10.0.0.1:80", "query", "show serving").exit_code == exit_codes.USAGE
    )
    # Nothing listens on loopback port 9, so the connection is refused.
    result = run_lynxctl("--node", "http://127.0.0.1:9", "query", "show serving")
    assert result.exit_code == exit_codes.UNREACHABLE
    assert "peer port" in result.stderr
    result = run_lynxctl("--node", "http://127.0.0.1:9", "apply", "-", text="scale group g to 9")
    assert result.exit_code == exit_codes.UNREACHABLE


def test_next_node_is_tried_if_first_is_unreachable(run_lynxctl, node_url):
    result = run_lynxctl(
        "--node", "http://127.0.0.1:9", "--node", node_url, "query", "count serving"
    )
    assert result.exit_code == exit_codes.OK


def test_check_config(run_lynxctl, node_url, tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text("node_id: n1\nplace: east\ncolour: red\n")
    result = run_lynxctl("check-config", str(path))
    assert result.exit_code == exit_codes.INVALID
    assert "listen" in result.stderr or "colour" in result.stderr
    path = tmp_path / "change.txt"
    path.write_text("scale group gg to 2")
    assert run_lynxctl("check-config", str(path)).exit_code == exit_codes.OK
    assert (
        run_lynxctl("--node", node_url, "check-config", str(path)).exit_code == exit_codes.INVALID
    )


def test_burn_report(run_lynxctl, node_url, tmp_path):
    plot = tmp_path / "burn.png"
    result = run_lynxctl("--node", node_url, "report", "burn", "--plot", str(plot))
    assert result.exit_code == exit_codes.OK
    assert "counts of n2 end 10 min ago" in result.output
    assert plot.read_bytes().startswith(b"\x89PNG")
    assert (
        run_lynxctl("--node", node_url, "report", "burn", "--check").exit_code == exit_codes.ALERT
    )


def test_503_after_504_is_reported_as_unknown_outcome():
    """A 503 must not be reported as 'nothing was changed' after an attempt of unknown outcome."""

    class FakePool:
        def __init__(self):
            self.request_count = 0

        def request(self, *arguments, **options):
            self.request_count += 1
            status = 504 if self.request_count == 1 else 503
            body = json.dumps({"error": {"type": "x", "message": "y"}}).encode()
            return type("Response", (), {"status": status, "data": body})

    client = admin_client.AdminClient(["http://n"], FakePool(), sleep=lambda seconds: None)
    with pytest.raises(admin_client.operator_errors.ChangeOutcomeUnknown):
        client.apply({})


def test_format_duration():
    assert [_burn_output._format_duration(seconds) for seconds in (5, 300, 3600, 259200)] == [
        "5 s",
        "5 min",
        "1 h",
        "3 d",
    ]
