"""At most once and stream resumption through daemons, in separate processes."""

import json
import signal
import threading
import time
import uuid

import pytest
import urllib3

from lynxlanding_bench import caller, fleet, processes

pytestmark = pytest.mark.multiprocess

SHORT_MS = {"X-Request-Timeout-Ms": "1500"}


@pytest.fixture(scope="module")
def installation(tmp_path_factory):
    """Three daemons, four engines and a service whose calls take 0.5 s."""
    with processes.Processes(tmp_path_factory.mktemp("keyed")) as running:
        started = fleet.Fleet(
            running,
            daemons=3,
            service_options=["--work-ms", 500],
            request_settings={"stall_timeout_s": 1.0},
        )
        started.start()
        yield started, running


@pytest.fixture
def callers(installation):
    pool = urllib3.PoolManager(maxsize=16)
    return [caller.Caller(installation[0].daemon_url(i), "desk-secret", pool) for i in range(3)]


def _runs(installation, reference):
    response = urllib3.request("GET", installation[0].service_url + "/runs")
    return response.json().get(reference, 0)


def _set_faults(url, **faults):
    urllib3.request("POST", url + "/faults", body=json.dumps(faults).encode())


def _in_background(function, *arguments, **options):
    results = []
    thread = threading.Thread(target=lambda: results.append(function(*arguments, **options)))
    thread.start()
    return thread, results


def test_repeat_during_the_run_waits_for_the_outcome(installation, callers):
    """Guards against a second run when an impatient caller repeats on other nodes."""
    reference = uuid.uuid4().hex
    thread, first = _in_background(callers[0].call_service, reference, key=reference)
    time.sleep(0.2)
    status, _, headers, document = callers[1].call_service(reference, key=reference)
    thread.join()
    assert (status, headers["X-Replayed"]) == (200, "true")
    assert document == first[0][3]
    assert _runs(installation, reference) == 1


def test_other_request_with_the_same_key(installation, callers):
    """Guards against a caller that gets the response to another request."""
    key = uuid.uuid4().hex
    callers[0].call_service("first", key=key)
    status, executed, _, _ = callers[1].call_service("second", key=key)
    assert (status, executed) == (422, "no")
    assert _runs(installation, "second") == 0


def test_lost_answer_of_the_store(installation, callers):
    """Guards against a second run or a refusal when the store's answer to a claim is lost."""
    reference = uuid.uuid4().hex
    _set_faults(installation[0].object_api, lose_answers=1)
    status, _, _, _ = callers[0].call_service(reference, key=reference)
    assert status == 200
    assert _runs(installation, reference) == 1


def test_store_outage(installation, callers):
    """Guards against a keyed request that is sent without a claim."""
    reference = uuid.uuid4().hex
    _set_faults(installation[0].object_api, unavailable=True)
    try:
        status, executed, headers, _ = callers[0].call_service(reference, key=reference)
    finally:
        _set_faults(installation[0].object_api, unavailable=False)
    # An earlier submission of the key may have run on the other node.
    assert (status, executed) == (503, "unknown")
    assert int(headers["Retry-After"]) >= 1
    assert _runs(installation, reference) == 0


def test_break_after_the_run(installation, callers):
    """Guards against ``executed: no`` for a request that ran, and against running it again."""
    reference = uuid.uuid4().hex
    _set_faults(installation[0].service_url, break_after_run=1)
    status, executed, _, _ = callers[0].call_service(reference, key=reference)
    assert (status, executed) == (502, "unknown")
    for repeat in callers:
        status, executed, _, _ = repeat.call_service(reference, key=reference)
        assert (status, executed) == (409, "unknown")
    assert _runs(installation, reference) == 1


def test_call_without_a_key_is_sent_once(installation, callers):
    """Guards against a retry of a call that may have run."""
    reference = uuid.uuid4().hex
    _set_faults(installation[0].service_url, break_after_run=1)
    status, executed, _, _ = callers[0].call_service(reference)
    assert (status, executed) == (502, "unknown")
    assert _runs(installation, reference) == 1


def test_owner_is_paused(installation, callers):
    """Guards against a takeover of a claim whose owner does not answer."""
    reference = uuid.uuid4().hex
    thread, first = _in_background(callers[0].call_service, reference, key=reference)
    time.sleep(0.2)
    installation[1].signal("node-0", signal.SIGSTOP)
    started_at = time.monotonic()
    status, executed, _, _ = callers[1].call_service(reference, key=reference, headers=SHORT_MS)
    waited_s = time.monotonic() - started_at
    installation[1].signal("node-0", signal.SIGCONT)
    thread.join()
    assert (status, executed) == (409, "unknown")
    assert waited_s < 1.6
    assert first[0][0] == 200
    status, _, headers, _ = callers[2].call_service(reference, key=reference)
    assert (status, headers["X-Replayed"]) == (200, "true")
    assert _runs(installation, reference) == 1


@pytest.mark.parametrize("fault", [{"stall": True}, {"down": True}])
def test_stream_is_resumed_on_another_engine(installation, callers, fault):
    """Guards against streams that end with their engine, and against lost or doubled tokens."""
    threads = []
    for index in range(8):
        threads.append(_in_background(callers[index % 3].stream, f"quote {index}", 80))
    time.sleep(0.7)
    engine = f"http://{processes.HOST}:{installation[0].engine_ports[0]}"
    _set_faults(engine, **fault)
    try:
        for thread, _ in threads:
            thread.join()
    finally:
        _set_faults(engine, stall=False, down=False)
    assert [outcomes[0].result for _, outcomes in threads] == [caller.WHOLE] * 8


def test_stream_outlives_its_engine(installation, callers):
    """Guards against streams that end with a killed engine."""
    threads = []
    for index in range(8):
        threads.append(_in_background(callers[index % 3].stream, f"quote {index}", 80))
    time.sleep(0.7)
    installation[1].kill("engine-0")
    for thread, _ in threads:
        thread.join()
    assert [outcomes[0].result for _, outcomes in threads] == [caller.WHOLE] * 8


def test_owner_is_killed(installation, callers):
    """Guards against a second run, or a long wait, when the owner of a claim dies."""
    reference = uuid.uuid4().hex
    thread, _ = _in_background(_ignore_errors, callers[2].call_service, reference, key=reference)
    time.sleep(0.2)
    installation[1].kill("node-2")
    thread.join()
    started_at = time.monotonic()
    for repeat in callers[:2]:
        status, executed, _, _ = repeat.call_service(reference, key=reference)
        assert (status, executed) == (409, "unknown")
    assert time.monotonic() - started_at < 1.0
    assert _runs(installation, reference) == 1


def _ignore_errors(function, *arguments, **options):
    try:
        return function(*arguments, **options)
    except urllib3.exceptions.HTTPError:
        return None
