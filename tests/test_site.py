"""The node of the users' platform against its stand-in, with real processes on loopback."""

import http.client
import json
import random
import signal
import socket
import threading
import time

import pytest

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import site_installation

ENGINES = 20
HEARTBEAT_S = 0.3
DRILLS = 10
KEY = "secret-key"
HOST = "site.example"
EXPECTED = [b"id: %d" % number for number in range(1, 13)]


class Installation(site_installation.SiteInstallation):
    """A site with model engines and two nodes."""

    def __init__(self, running):
        super().__init__(running, ENGINES, plain=2, heartbeat_s=HEARTBEAT_S)

    def call(self, name, method, path, request_id, body=None, headers=(), key=KEY):
        """Return status, headers and body; the body is None if the connection was cut."""
        connection = http.client.HTTPConnection("127.0.0.1", self.nodes[name][0], timeout=12)
        all_headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "8000",
            "Authorization": f"Bearer {key}",
            **dict(headers),
        }
        try:
            connection.request(method, path, body, all_headers)
            response = connection.getresponse()
            try:
                return response.status, response.headers, response.read()
            except (http.client.IncompleteRead, ConnectionError):
                return response.status, response.headers, None
        finally:
            connection.close()

    def stream(self, name, request_id, model="small"):
        headers = {"X-Model": model, "X-Token-Counts": "700,60"}
        return self.call(name, "POST", "/chat/x", request_id, b"prompt", headers.items())

    def runs(self, request_id):
        return [item for item in self.control()["history"] if item[1] == request_id]


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with processes.Processes(tmp_path_factory.mktemp("site")) as running:
        installation = Installation(running)
        installation.wait_ready()
        site_installation.wait_for(
            lambda: len(_open_heads(installation)) >= 6, "groups of both models are open"
        )
        # Surplus groups have retired and the hosts hold a second model.
        time.sleep(3.0)
        yield installation


def _open_heads(installation):
    return [item for item in installation.control()["groups"] if item["state"] == "open"]


def _is_whole(answer):
    status, _, body = answer
    if status != 200 or body is None:
        return False
    return [event.split(b"\n")[0] for event in body.split(b"\n\n")[:-1]] == EXPECTED


def test_streams_of_both_models_are_whole(site):
    for number, model in enumerate(["small", "large", "small", "large"]):
        answer = site.stream(f"n{number % 2}", f"w{number}", model)
        assert _is_whole(answer), answer
        assert answer[1]["X-Response-Seal"] == "seal"


def test_a_request_goes_on_as_it_was_sent(site):
    answer = site.call(
        "n0", "GET", "/look/a%2Fb//../c%20d?x=%2f&y=", "raw", None, {"X-Tenant": "w"}
    )
    document = json.loads(answer[2])
    assert document["target"] == "/look/a%2Fb//../c%20d?x=%2f&y="
    assert document["workspace"] == "small"
    assert document["key"] is None


def test_wrong_keys_paths_and_hosts_run_nothing(site):
    assert site.call("n0", "GET", "/look/x", "k1", key="other")[0] == 401
    assert site.call("n0", "GET", "/nowhere/x", "k2")[0] == 404
    assert site.call("n0", "GET", "/look/x", "k3", None, {"Host": "other.example"})[0] == 404
    assert site.runs("k1") == site.runs("k2") == site.runs("k3") == []


def test_a_second_request_inside_the_first_is_refused(site):
    """Guards against a smuggled request that runs at the service."""
    with socket.create_connection(("127.0.0.1", site.nodes["n0"][0]), 5) as connection:
        connection.sendall(
            b"POST /book/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: s1\r\n"
            b"Authorization: Bearer secret-key\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /book/smug HTTP/1.1\r\n"
            b"Host: site.example\r\nX-Request-Id: s2\r\nAuthorization: Bearer secret-key\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        connection.settimeout(3)
        data = b""
        while True:
            more = connection.recv(65536)
            if not more:
                break
            data += more
    assert data.startswith(b"HTTP/1.1 400 ")
    assert data.count(b"HTTP/1.1 ") == 1
    assert site.runs("s1") == site.runs("s2") == []


def test_an_unsafe_request_runs_once(site):
    assert site.call("n1", "POST", "/book/x", "u1", b"booking")[0] == 200
    assert len(site.runs("u1")) == 1


def test_a_changed_configuration_is_in_force_within_seconds(site):
    assert site.call("n0", "GET", "/added/x", "c1")[0] == 404
    site.control(configuration=2)
    time.sleep(2.0)
    for name in site.nodes:
        assert site.call(name, "GET", "/added/x", f"c2{name}")[0] == 200


def test_streams_go_on_when_a_member_goes_dark_and_the_group_returns(site):
    """Pattern: engines lost one after the other, known by stalled streams only."""
    head = next(item for item in _open_heads(site) if len(item["members"]) == 2)
    answers = {}

    def call(number):
        answers[number] = site.stream(f"n{number % 2}", f"d{number}", "small")

    threads = [threading.Thread(target=call, args=(number,)) for number in range(24)]
    for thread in threads:
        thread.start()
    time.sleep(0.15)
    site.control(dark=[head["members"][1]])
    for thread in threads:
        thread.join()
    assert all(_is_whole(answer) for answer in answers.values()), answers

    def has_moved():
        groups = site.control()["groups"]
        lost = head["members"][1]
        return not any(lost in item["members"] and not item["dark"] for item in groups)

    site_installation.wait_for(has_moved, "the other member has left the broken group", 8.0)


def test_the_store_may_be_away(site):
    """Nodes serve on with what they know, and follow again when the store returns."""
    site.control(store="busy")
    time.sleep(1.0)
    assert _is_whole(site.stream("n0", "o1"))
    assert site.call("n1", "POST", "/book/x", "o2", b"b")[0] == 200
    site.control(store="")
    time.sleep(1.0)
    assert site.is_ready("n0")


def test_the_store_may_come_back_from_an_older_copy(site):
    """Drill under streams and unsafe requests: nothing is cut, nothing runs twice."""
    answers = {}
    sent = []

    def call(number):
        name = f"n{number % 2}"
        if number % 3:
            answers[number] = site.stream(name, f"z{number}", ("small", "large")[number % 2])
            return
        sent.append(f"z{number}")
        answers[number] = site.call(name, "POST", "/book/x", f"z{number}", b"b")

    threads = []
    for drill in range(DRILLS):
        site.control(save_store=True)
        time.sleep(0.3)
        for number in range(drill * 9, drill * 9 + 9):
            threads.append(threading.Thread(target=call, args=(number,)))
            threads[-1].start()
        time.sleep(0.1)
        site.control(store="busy")
        time.sleep(0.1)
        site.control(roll_back_store=True, store="")
        time.sleep(0.2)
    for thread in threads:
        thread.join()
    for number, answer in answers.items():
        assert answer[0] == 200 and answer[2] is not None, (number, answer)
        assert not number % 3 or _is_whole(answer), (number, answer)
    for request_id in sent:
        assert len(site.runs(request_id)) == 1
    heads = _open_heads(site)
    time.sleep(4.0)
    kept = [item for item in _open_heads(site) if item in heads]
    assert len(kept) >= len(heads) - 1
    assert site.is_ready("n0") and site.is_ready("n1")
    assert site.call("n0", "GET", "/added/x", "z-added")[0] == 200


def test_no_engine_is_in_two_groups_and_metrics_are_served(site):
    members = {}
    for item in _open_heads(site):
        for member in item["members"]:
            assert member not in members, (item, members[member])
            members[member] = item
    connection = http.client.HTTPConnection("127.0.0.1", site.nodes["n0"][2], timeout=5)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read()
    assert b"lynxlanding_requests_total" in text
    assert b"lynxlanding_first_event_seconds_bucket" in text


def test_mutated_requests_get_typed_answers_and_run_nothing_foreign(site):
    """Guards against requests that are read in another way than they were sent."""
    random_state = random.Random(20261203)
    base = (
        b"POST /book/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %s\r\n"
        b"X-Deadline-Ms: 2000\r\nAuthorization: Bearer secret-key\r\n"
        b"Content-Length: 4\r\n\r\nbody"
    )
    junk = [b"\x00", b"\r", b"\n", b"\r\n", b":", b" ", b"\xff", b"Content-Length: 9\r\n", b"\t"]
    for number in range(150):
        request_id = b"f%03d" % number
        data = bytearray(base % request_id)
        for _ in range(random_state.randrange(1, 4)):
            at = random_state.randrange(len(data))
            if random_state.random() < 0.5:
                data[at:at] = random_state.choice(junk)
            else:
                del data[at : at + random_state.randrange(1, 6)]
        with socket.create_connection(("127.0.0.1", site.nodes["n0"][0]), 5) as connection:
            connection.sendall(bytes(data))
            connection.shutdown(socket.SHUT_WR)
            connection.settimeout(5)
            answer = b""
            try:
                while True:
                    more = connection.recv(65536)
                    if not more:
                        break
                    answer += more
            except ConnectionResetError:
                continue
        assert answer == b"" or answer.startswith((b"HTTP/1.1 ", b"HTTP/1.0 ")), (data, answer)
    history = site.control()["history"]
    runs = [item[1] for item in history if item[1].startswith("f")]
    assert len(runs) == len(set(runs))
    assert site.is_ready("n0")
    assert site.call("n0", "POST", "/book/x", "after", b"b")[0] == 200


def test_settings_are_read_again_on_sighup(site):
    """Guards against a reload that cuts requests, and against one of invalid settings."""
    path = site.running.directory / "n0.yaml"
    log = site.running.directory / "n0.log"
    valid = path.read_text()
    answers = []
    thread = threading.Thread(target=lambda: answers.append(site.stream("n0", "h1")))
    thread.start()
    time.sleep(0.1)
    path.write_text(valid.replace("repeat_slack: 400", "repeat_slack: 401"))
    site.running.signal("n0", signal.SIGHUP)
    site_installation.wait_for(lambda: "lynxlanding:node:reloaded" in log.read_text(), "reloaded")
    path.write_text(valid.replace("repeat_slack: 400", "repeat_slack: many"))
    site.running.signal("n0", signal.SIGHUP)
    site_installation.wait_for(lambda: "settings not reloaded" in log.read_text(), "refused")
    path.write_text(valid)
    thread.join()
    assert _is_whole(answers[0])
    assert _is_whole(site.stream("n0", "h2"))


def test_placement_of_a_large_fleet_is_a_setting(site):
    """Guards against a node that does not serve with it, whatever the number of nodes."""
    path = site.running.directory / "n0.yaml"
    log = site.running.directory / "n0.log"
    text = path.read_text()
    changed = '"is_changed":true'
    reloads = log.read_text().count(changed)
    path.write_text(text.replace("repeat_slack: 400", "fleet_placement: true"))
    site.running.signal("n0", signal.SIGHUP)
    site_installation.wait_for(lambda: log.read_text().count(changed) > reloads, "reloaded")
    assert all(_is_whole(site.stream("n0", f"p{number}")) for number in range(4))
    path.write_text(text)


def test_a_stop_lets_streams_end_and_the_other_node_serves(site):
    """Pattern: nodes stopped in turn, under streams."""
    answers = []
    thread = threading.Thread(target=lambda: answers.append(site.stream("n1", "t1")))
    thread.start()
    time.sleep(0.15)
    site.running.signal("n1", signal.SIGTERM)
    time.sleep(0.2)
    assert not site.is_ready("n1")
    thread.join()
    assert _is_whole(answers[0]), answers
    assert site.running.wait("n1", 8.0) == 0
    assert _is_whole(site.stream("n0", "t2"))
    site_installation.wait_for(
        lambda: len(_open_heads(site)) >= 5, "the other node plans all domains"
    )
