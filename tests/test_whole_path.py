"""The whole path from a caller through a daemon to an endpoint, in separate processes."""

import json

import openai
import pytest
import urllib3

from lynxlanding_bench import caller, fleet

pytestmark = pytest.mark.multiprocess


def test_streamed_answer_is_whole_and_own(installation):
    """Guards against swapped and truncated streams on an ordinary run."""
    for index in range(2):
        client = caller.Caller(installation.daemon_url(index), "desk-secret", urllib3.PoolManager())
        assert client.stream(f"quote {index}", 20).result == caller.WHOLE


def test_openai_client_library(installation):
    """Guards against answers that only our own client understands."""
    client = openai.OpenAI(
        base_url=installation.daemon_url(0) + "/v1", api_key="desk-secret", max_retries=0
    )
    messages = [{"role": "user", "content": "Which grit for a hull?"}]
    whole = client.chat.completions.create(model=fleet.MODEL, messages=messages, max_tokens=8)
    parts = client.chat.completions.create(
        model=fleet.MODEL, messages=messages, max_tokens=8, stream=True
    )
    streamed = "".join(part.choices[0].delta.content or "" for part in parts)
    assert whole.choices[0].message.content == streamed
    assert streamed.count(" ") == 8
    assert [model.id for model in client.models.list()] == [fleet.MODEL]


@pytest.mark.parametrize(
    ("method", "path", "token", "body", "status", "type_name"),
    [
        ("POST", "/v1/completions", "wrong", b"{}", 401, "unauthorized"),
        ("POST", "/v1/completions", "desk-secret", b"{", 400, "invalid_request"),
        ("POST", "/v1/completions", "desk-secret", b"[" * 100_000, 400, "invalid_request"),
        (
            "POST",
            "/v1/completions",
            "desk-secret",
            b'{"model": "x", "prompt": "a"}',
            404,
            "not_found",
        ),
        ("GET", "/v1/completions", "desk-secret", b"", 405, "method_not_allowed"),
        ("POST", "/v1/completions", "desk-secret", b"x" * (5 << 20), 413, "body_too_large"),
        ("GET", "/nowhere", "desk-secret", b"", 404, "not_found"),
        ("GET", "/services/unknown/a", "desk-secret", b"", 404, "not_found"),
    ],
)
def test_refusals_are_typed(installation, method, path, token, body, status, type_name):
    """Guards against refusals without a type, an identity or a statement about execution."""
    response = urllib3.PoolManager().request(
        method,
        installation.daemon_url(0) + path,
        body=body,
        headers={"Authorization": f"Bearer {token}"},
        retries=False,
    )
    error = json.loads(response.data)["error"]
    assert (response.status, error["type"], error["executed"]) == (status, type_name, "no")
    assert response.headers["X-Executed"] == "no"
    assert response.headers["X-Request-Id"]
