"""Metrics, logs and service-level counts of a node in its own process."""

import json
import signal
import socket
import time
import urllib.parse

import pytest
import urllib3

from lynxlanding_bench import caller, fleet, processes

pytestmark = pytest.mark.multiprocess

PROMPT = "a-prompt-that-nobody-may-read"


@pytest.fixture
def single(tmp_path):
    """One daemon with its own stand-ins, so that its counts are known."""
    with processes.Processes(tmp_path) as running:
        started = fleet.Fleet(running, daemons=1, engines=2)
        started.start()
        yield running, started


def test_requests_are_counted_and_logged_without_secrets(single):
    """Guards against lost counts, and against tokens and prompts in logs and metrics."""
    running, installation = single
    pool = urllib3.PoolManager()
    client = caller.Caller(installation.daemon_url(0), "desk-secret", pool)
    for _ in range(3):
        assert client.stream(PROMPT, 5).result == caller.WHOLE
    assert client.call_service("job-1")[0] == 200
    stranger = caller.Caller(installation.daemon_url(0), "wrong-secret", pool)
    assert stranger.stream(PROMPT, 5).status == 401

    page = pool.request("GET", installation.daemon_url(0) + "/metrics").data.decode()
    assert _value(page, "lynxlanding_requests_total", 'result="whole"', 'service="desk-model"') == 3
    assert _value(page, "lynxlanding_requests_total", 'status="401"') == 1
    assert _value(page, "lynxlanding_tokens_total") == 15
    # Instruments of other packages are on the same page.
    assert _value(page, "lynxlanding_attempts_total") == 4
    assert _value(page, "lynxlanding_configuration_revision") == 1

    running.signal("node-0", signal.SIGTERM)
    assert running.wait("node-0", 20) == 0
    log = (running.directory / "node-0.log").read_text()
    finished = []
    for line in log.splitlines():
        record = json.loads(line)
        if record.get("message_type") == "lynxlanding:request:finished":
            finished.append(record)
    assert [record["result"] for record in finished].count("whole") == 4
    assert all(record["request_id"] and record["node"] == "node-0" for record in finished)
    for text in (log, page):
        assert PROMPT not in text
        assert "desk-secret" not in text
        assert "wrong-secret" not in text

    # The last write comes with the planned stop.
    url = installation.object_api + "/objects/slo/node-0"
    value = pool.request("GET", url).json()["value"]
    (part,) = value["parts"].values()
    good = {tuple(row[:3]): row[3][3][1] for row in part["counts"]}
    assert good["whole_answer", "workspace", "desk"] == [4]
    assert good["first_token", "service", "desk-model"] == [3]


def test_caller_that_leaves_is_no_failure(single):
    """Guards against hang-ups that burn the error budget or keep their engine busy."""
    running, installation = single
    address = urllib.parse.urlsplit(installation.daemon_url(0))
    body = json.dumps(
        {"model": fleet.MODEL, "prompt": PROMPT, "stream": True, "max_tokens": 400}
    ).encode()
    with socket.create_connection((address.hostname, address.port)) as connection:
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer desk-secret\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        connection.sendall(head.encode() + body)
        assert connection.recv(4096)
    pool = urllib3.PoolManager()
    deadline = time.monotonic() + 5
    abandoned = 0
    while abandoned == 0 and time.monotonic() < deadline:
        page = pool.request("GET", installation.daemon_url(0) + "/metrics").data.decode()
        abandoned = _value(page, "lynxlanding_requests_total", 'result="abandoned"')
        time.sleep(0.05)
    assert abandoned == 1
    events = (running.directory / "history.jsonl").read_text().splitlines()
    assert "cancelled" in [json.loads(event)["event"] for event in events]


def _value(page, name, *labels):
    total = 0.0
    for line in page.splitlines():
        if not line.startswith(name + "{") and not line.startswith(name + " "):
            continue
        if all(label in line for label in labels):
            total += float(line.rsplit(" ", 1)[1])
    return total
