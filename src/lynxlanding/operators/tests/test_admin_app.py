import io
import json

import pytest

from lynxlanding.errors import configuration as configuration_errors
from lynxlanding.errors import platform as platform_errors
from lynxlanding.operators import admin_app
from lynxlanding.operators.tests import fakes

CREATE = "create group h with model = m, replicas = 1"


@pytest.fixture
def configuration():
    return fakes.FakeConfiguration()


@pytest.fixture
def send_request(configuration):
    app = admin_app.AdminApp(configuration, fakes.FakeViewSource(), fakes.FakeBurnReportSource())

    def send(method, path, document=None, body=None, query=""):
        data = json.dumps(document).encode() if body is None else body
        status_lines = []
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": "/admin/v1/" + path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(data)),
            "wsgi.input": io.BytesIO(data),
        }
        response = app(environ, lambda status, headers: status_lines.append(status))
        return int(status_lines[0].split()[0]), json.loads(b"".join(response))

    return send


def _make_change(text, change_id="change-1", **fields):
    return {"text": text, "change_id": change_id, "author": "amina", **fields}


def test_query(send_request):
    status, response = send_request("POST", "query", {"text": "show address, running of serving"})
    assert status == 200
    assert response["results"] == [
        {"columns": ["address", "running"], "rows": [["10.0.0.1:80", 2]]}
    ]


def test_retry_after_lost_response_returns_accepted_revision(send_request, configuration):
    """A retried 'create' must not be refused because its first attempt was already accepted."""
    configuration.lost_commit_responses = 1
    status, response = send_request("POST", "apply", _make_change(CREATE))
    assert (status, response["error"]["type"]) == (504, "commit_outcome_unknown")
    status, response = send_request("POST", "apply", _make_change(CREATE))
    assert (status, response["outcome"], response["revision"]) == (200, "repeated", 2)
    assert len(configuration.entries) == 1


def test_reused_change_id_with_other_statements_is_rejected(send_request):
    """A new change under a used id must not be taken for a retry and silently dropped."""
    assert send_request("POST", "apply", _make_change(CREATE))[0] == 200
    status, response = send_request("POST", "apply", _make_change("scale group g to 9"))
    assert (status, response["error"]["type"]) == (400, "invalid_admin_request")


def test_dry_run_changes_nothing(send_request, configuration):
    status, response = send_request(
        "POST", "apply", _make_change("scale group g to 9", dry_run=True)
    )
    assert (status, response["outcome"]) == (200, "dry_run")
    line = response["difference"][0]
    assert (line["object"], line["before"], line["after"]) == ("groups/g", 3, 9)
    assert configuration.entries == []
    text = (
        "create group h with model = x, replicas = 1; create group i with model = x, replicas = 1"
    )
    status, response = send_request("POST", "apply", _make_change(text, dry_run=True))
    assert (status, response["error"]["path"]) == (422, "groups/h.model")
    assert "groups/i.model" in response["error"]["message"]


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (configuration_errors.RevisionConflict("other-change", 7), 409),
        (configuration_errors.StoreNotConfirmed("the store is unavailable"), 503),
        (configuration_errors.CommitOutcomeUnknown("lost"), 504),
        (platform_errors.StoreUnavailable("down"), 503),
        (platform_errors.StoreOutcomeUnknown("lost"), 504),
    ],
)
def test_commit_errors_distinguish_unchanged_from_unknown_outcome(
    send_request, configuration, error, status
):
    """An unknown commit outcome must not be reported with a status that means 'not changed'."""
    configuration.commit_error = error
    actual_status, response = send_request("POST", "apply", _make_change(CREATE))
    assert (actual_status, response["error"]["type"]) == (status, error.type_name)


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("POST", "query", b"{", 400),
        ("POST", "query", b"[" * 100_000, 400),
        ("POST", "query", b"[]", 400),
        ("POST", "query", b"{}", 400),
        ("POST", "query", b'{"text": "shw"}', 400),
        ("GET", "query", b"", 405),
        ("GET", "nowhere", b"", 404),
        ("POST", "apply", json.dumps({"text": CREATE}).encode(), 400),
        ("POST", "apply", json.dumps(_make_change(CREATE, "x")).encode(), 400),
        ("POST", "apply", json.dumps(_make_change(CREATE, author="")).encode(), 400),
        ("POST", "apply", json.dumps(_make_change(CREATE, dry_run=1)).encode(), 400),
    ],
)
def test_malformed_requests_are_rejected(send_request, method, path, body, status):
    assert send_request(method, path, body=body)[0] == status


def test_history_limit(send_request):
    for index in range(3):
        send_request(
            "POST", "apply", _make_change(f"scale group g to {index + 5}", f"change-{index}")
        )
    status, response = send_request("GET", "history", query="limit=2")
    assert [entry["change_id"] for entry in response["changes"]] == ["change-2", "change-1"]
    assert send_request("GET", "history", query="limit=x")[0] == 400
