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
def call(configuration):
    app = admin_app.AdminApp(configuration, fakes.FakeView(), fakes.FakeBurn())

    def send(method, path, document=None, body=None, query=""):
        data = json.dumps(document).encode() if body is None else body
        seen = []
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": "/admin/v1/" + path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(data)),
            "wsgi.input": io.BytesIO(data),
        }
        answer = app(environ, lambda status, headers: seen.append(status))
        return int(seen[0].split()[0]), json.loads(b"".join(answer))

    return send


def _change(text, change_id="change-1", **fields):
    return {"text": text, "change_id": change_id, "author": "amina", **fields}


def test_query(call):
    status, answer = call("POST", "query", {"text": "show address, running of serving"})
    assert status == 200
    assert answer["results"] == [{"columns": ["address", "running"], "rows": [["10.0.0.1:80", 2]]}]


def test_repeat_after_lost_answer_is_recognised(call, configuration):
    """Guards against a repeated 'create' that is refused although the change is in."""
    configuration.fail_after_commit = 1
    status, answer = call("POST", "apply", _change(CREATE))
    assert (status, answer["error"]["type"]) == (504, "commit_outcome_unknown")
    status, answer = call("POST", "apply", _change(CREATE))
    assert (status, answer["outcome"], answer["revision"]) == (200, "repeated", 2)
    assert len(configuration.entries) == 1


def test_change_id_with_other_statements_is_refused(call):
    """Guards against a change that is dropped because its id was used before."""
    assert call("POST", "apply", _change(CREATE))[0] == 200
    status, answer = call("POST", "apply", _change("scale group g to 9"))
    assert (status, answer["error"]["type"]) == (400, "invalid_admin_request")


def test_dry_run_changes_nothing(call, configuration):
    status, answer = call("POST", "apply", _change("scale group g to 9", dry_run=True))
    assert (status, answer["outcome"]) == (200, "dry_run")
    line = answer["difference"][0]
    assert (line["object"], line["before"], line["after"]) == ("groups/g", 3, 9)
    assert configuration.entries == []
    text = (
        "create group h with model = x, replicas = 1; create group i with model = x, replicas = 1"
    )
    status, answer = call("POST", "apply", _change(text, dry_run=True))
    assert (status, answer["error"]["path"]) == (422, "groups/h.model")
    assert "groups/i.model" in answer["error"]["message"]


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
def test_refusals_tell_whether_something_changed(call, configuration, error, status):
    """Guards against an unknown outcome that is reported as 'nothing changed'."""
    configuration.error = error
    seen, answer = call("POST", "apply", _change(CREATE))
    assert (seen, answer["error"]["type"]) == (status, error.type_name)


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
        ("POST", "apply", json.dumps(_change(CREATE, "x")).encode(), 400),
        ("POST", "apply", json.dumps(_change(CREATE, author="")).encode(), 400),
        ("POST", "apply", json.dumps(_change(CREATE, dry_run=1)).encode(), 400),
    ],
)
def test_malformed_requests_are_refused(call, method, path, body, status):
    assert call(method, path, body=body)[0] == status


def test_history_limit(call):
    for index in range(3):
        call("POST", "apply", _change(f"scale group g to {index + 5}", f"change-{index}"))
    status, answer = call("GET", "history", query="limit=2")
    assert [entry["change_id"] for entry in answer["changes"]] == ["change-2", "change-1"]
    assert call("GET", "history", query="limit=x")[0] == 400
