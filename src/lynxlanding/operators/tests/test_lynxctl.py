import json
import threading
import wsgiref.simple_server

import pytest
from click import testing

from lynxlanding.errors import configuration as configuration_errors
from lynxlanding.operators import _burn_output, admin_app, admin_client, exit_codes, lynxctl
from lynxlanding.operators.tests import fakes


class _QuietHandler(wsgiref.simple_server.WSGIRequestHandler):
    def log_message(self, *arguments):
        pass


@pytest.fixture
def configuration():
    return fakes.FakeConfiguration()


@pytest.fixture
def node(configuration):
    app = admin_app.AdminApp(configuration, fakes.FakeView(), fakes.FakeBurn())
    server = wsgiref.simple_server.make_server("127.0.0.1", 0, app, handler_class=_QuietHandler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield f"http://127.0.0.1:{server.server_port}"
    server.shutdown()
    server.server_close()
    thread.join()


@pytest.fixture
def run(monkeypatch):
    monkeypatch.setattr(admin_client, "FIRST_DELAY_S", 0.01)

    def invoke(*arguments, text=None):
        return testing.CliRunner().invoke(lynxctl.main, arguments, input=text)

    return invoke


def test_query_as_table_and_json(run, node):
    result = run("--node", node, "query", "show address, running of serving")
    assert result.exit_code == exit_codes.OK
    assert "10.0.0.1:80        2" in result.output
    result = run("--node", node, "--output", "json", "query", "count serving")
    assert json.loads(result.stdout)["results"][0]["rows"] == [[1]]


def test_mistake_is_marked(run):
    """Guards against a mistake that is reported without its place or is sent to a node."""
    result = run("query", "show serving\n  wher place = a")
    assert result.exit_code == exit_codes.INVALID
    assert "line 2, column 3" in result.stderr
    assert "    wher place = a\n    ^" in result.stderr


def test_apply_and_history(run, node, configuration):
    result = run("--node", node, "apply", "-", "--author", "amina", text="scale group g to 9")
    assert result.exit_code == exit_codes.OK
    assert "replicas" in result.output
    assert configuration.groups["g"].replicas == 9
    result = run("--node", node, "history")
    assert "amina" in result.output
    assert "scale group g to 9" in result.output


def test_lost_answer_is_repeated_with_the_same_id(run, node, configuration):
    """Guards against a change that is applied twice, or reported as failed, after a lost answer."""
    configuration.fail_after_commit = 1
    text = "create group h with model = m, replicas = 1"
    result = run("--node", node, "apply", "-", text=text)
    assert result.exit_code == exit_codes.OK
    assert "accepted before" in result.output
    assert len(configuration.entries) == 1


@pytest.mark.parametrize(
    ("error", "code", "advice"),
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
def test_refusals_have_exit_codes_and_advice(run, node, configuration, error, code, advice):
    configuration.error = error
    result = run("--node", node, "apply", "-", text="scale group g to 9")
    assert result.exit_code == code
    assert advice in result.stderr


def test_mistake_found_by_the_node_is_marked(run, node):
    result = run("--node", node, "apply", "-", text="scale group gg to 9")
    assert result.exit_code == exit_codes.INVALID
    assert "did you mean 'g'" in result.stderr
    assert "              ^" in result.stderr


def test_node_mistakes(run):
    assert run("query", "show serving").exit_code == exit_codes.USAGE
    assert run("--node", "10.0.0.1:80", "query", "show serving").exit_code == exit_codes.USAGE
    # Port 9 of loopback has no listener.
    result = run("--node", "http://127.0.0.1:9", "query", "show serving")
    assert result.exit_code == exit_codes.UNREACHABLE
    assert "peer port" in result.stderr
    result = run("--node", "http://127.0.0.1:9", "apply", "-", text="scale group g to 9")
    assert result.exit_code == exit_codes.UNREACHABLE


def test_other_node_is_tried(run, node):
    result = run("--node", "http://127.0.0.1:9", "--node", node, "query", "count serving")
    assert result.exit_code == exit_codes.OK


def test_check_config(run, node, tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text("node_id: n1\nplace: east\ncolour: red\n")
    result = run("check-config", str(path))
    assert result.exit_code == exit_codes.INVALID
    assert "listen" in result.stderr or "colour" in result.stderr
    path = tmp_path / "change.txt"
    path.write_text("scale group gg to 2")
    assert run("check-config", str(path)).exit_code == exit_codes.OK
    assert run("--node", node, "check-config", str(path)).exit_code == exit_codes.INVALID


def test_burn_report(run, node, tmp_path):
    plot = tmp_path / "burn.png"
    result = run("--node", node, "report", "burn", "--plot", str(plot))
    assert result.exit_code == exit_codes.OK
    assert "counts of n2 end 10 min ago" in result.output
    assert plot.read_bytes().startswith(b"\x89PNG")
    assert run("--node", node, "report", "burn", "--check").exit_code == exit_codes.ALERT


def test_503_after_a_lost_answer_stays_unknown():
    """Guards against 'nothing was changed' when an earlier attempt may have been accepted."""

    class Pool:
        def __init__(self):
            self.calls = 0

        def request(self, *arguments, **options):
            self.calls += 1
            status = 504 if self.calls == 1 else 503
            body = json.dumps({"error": {"type": "x", "message": "y"}}).encode()
            return type("Response", (), {"status": status, "data": body})

    client = admin_client.AdminClient(["http://n"], Pool(), sleep=lambda seconds: None)
    with pytest.raises(admin_client.operator_errors.ChangeOutcomeUnknown):
        client.apply({})


def test_durations():
    assert [_burn_output._duration(s) for s in (5, 300, 3600, 259200)] == [
        "5 s",
        "5 min",
        "1 h",
        "3 d",
    ]
