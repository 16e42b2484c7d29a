"""A planned stop of a daemon that still sends an answer."""

import json
import signal
import socket
import time
import urllib.parse

import pytest

from lynxlanding_bench import fleet, processes

pytestmark = pytest.mark.multiprocess

# About 11 MB, more than the kernel buffers for one connection.
TOKENS = 800_000


def _read_answer(connection):
    answer = bytearray()
    while True:
        part = connection.recv(1 << 20)
        if not part:
            break
        answer += part
        head, separator, body = bytes(answer[:2000]).partition(b"\r\n\r\n")
        if separator and b"Content-Length: %d\r" % (len(answer) - len(head) - 4) in head + b"\r":
            break
    head, _, body = bytes(answer).partition(b"\r\n\r\n")
    return head, body


def test_slow_caller_gets_the_whole_answer(tmp_path):
    """Guards against a stop that counts an answer as sent while it waits in the node's buffer."""
    with processes.Processes(tmp_path) as running:
        installation = fleet.Fleet(
            running, daemons=1, engines=1, engine_options=["--token-interval-ms", "0"]
        )
        installation.start()
        body = json.dumps({"model": fleet.MODEL, "prompt": "long", "max_tokens": TOKENS}).encode()
        address = urllib.parse.urlsplit(installation.daemon_url(0))
        with socket.create_connection((address.hostname, address.port), timeout=20) as connection:
            connection.sendall(
                b"POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
                b"Authorization: Bearer desk-secret\r\nContent-Length: %d\r\n\r\n" % len(body)
            )
            connection.sendall(body)
            assert connection.recv(1) == b"H"
            running.signal("node-0", signal.SIGTERM)
            time.sleep(2.0)
            assert running.is_running("node-0")
            _, answer = _read_answer(connection)
        text = json.loads(answer)["choices"][0]["text"]
        assert text.count(" ") == TOKENS
        assert running.wait("node-0", 10) == 0
