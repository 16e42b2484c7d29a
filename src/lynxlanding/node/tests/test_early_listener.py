"""Pattern: all nodes back at once; callers connect before the nodes have started whole."""

import socket
import threading

import pytest

from lynxlanding.gateway import http_server
from lynxlanding.node import early_listener, node_view
from lynxlanding.settings import vm_settings


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def write(path, address):
    path.write_text(f"listen:\n  callers: {address}\n", encoding="utf-8")
    return str(path)


def app(environ, start_response):
    del environ
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


def test_a_request_sent_before_the_server_exists_is_answered(tmp_path):
    port = free_port()
    listener = early_listener.listen(write(tmp_path / "node.yaml", f"127.0.0.1:{port}"))
    caller = socket.create_connection(("127.0.0.1", port), timeout=5.0)
    caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    limits = vm_settings.ServerLimits(2)
    server = http_server.create(app, "127.0.0.1", port, limits, listener)
    threading.Thread(target=server.run, daemon=True).start()
    received = b""
    while chunk := caller.recv(4096):
        received += chunk
    assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"ok")
    server.close()


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[",
        "listen: {}",
        "listen: 3",
        "listen: {callers: 7}",
        "listen: {callers: '127.0.0.1:x'}",
    ],
)
def test_a_file_that_cannot_be_used_is_left_to_the_checked_settings(tmp_path, text):
    path = tmp_path / "node.yaml"
    path.write_text(text, encoding="utf-8")
    assert early_listener.listen(str(path)) is None


def test_without_a_file_or_a_free_address_there_is_no_listener(tmp_path):
    assert early_listener.listen(None) is None
    assert early_listener.listen(str(tmp_path / "absent")) is None
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        assert early_listener.listen(write(tmp_path / "node.yaml", address)) is None


def test_requests_wait_for_the_first_lists_of_the_store():
    view = node_view.NodeView()
    released = threading.Event()

    def wait():
        view.wait_until_known()
        released.set()

    threading.Thread(target=wait, daemon=True).start()
    assert not released.wait(0.05)
    view.confirm_registry(1.0)
    assert not released.wait(0.05)
    view.use_configuration(_Version(3))
    assert released.wait(node_view.START_S)


def test_requests_are_not_held_after_the_start(monkeypatch):
    """Guards against a wait while the store is away for longer."""
    view = node_view.NodeView()
    later = node_view.time.monotonic() + node_view.START_S
    monkeypatch.setattr(node_view.time, "monotonic", lambda: later)
    view.wait_until_known()
    assert view.configuration is None


class _Version:
    def __init__(self, version):
        self.version = version
